#ifndef ROSEMARYTRAIL_RPC_INTERNAL_CONVERSION_HPP
#define ROSEMARYTRAIL_RPC_INTERNAL_CONVERSION_HPP

#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/rpc/generated/peer.capnp.h>

#include <optional>
#include <span>
#include <vector>

namespace rosemarytrail::rpc::internal {

/** @brief Maximum partition number that is accepted from a peer. */
inline constexpr partition_id max_partition = 255;

/**
 * @brief Writes a heartbeat.
 * @param to Message to write to.
 * @param value Heartbeat to write.
 */
void write(wire::Heartbeat::Builder to, const control::heartbeat& value);

/**
 * @brief Writes the status of a job.
 * @param to Message to write to.
 * @param value Status to write.
 */
void write(wire::JobStatus::Builder to, const control::job_status& value);

/**
 * @brief Writes the outcome of a cancellation.
 * @param to Message to write to.
 * @param value Outcome to write.
 */
void write(wire::CancelOutcome::Builder to,
           const control::cancel_outcome& value);

/**
 * @brief Writes log entries.
 * @param to List with the same number of entries.
 * @param entries Entries to write.
 */
void write(capnp::List<wire::LogEntry>::Builder to,
           std::span<const backends::log_entry> entries);

/**
 * @brief Reads and validates a heartbeat.
 * @param from Message from a peer; untrusted.
 * @return The heartbeat, or nothing if a field is out of range.
 */
[[nodiscard]] std::optional<control::heartbeat>
read(wire::Heartbeat::Reader from);

/**
 * @brief Reads and validates the status of a job.
 * @param from Message from a peer; untrusted.
 * @return The status, or nothing if a field is out of range.
 */
[[nodiscard]] std::optional<control::job_status>
read(wire::JobStatus::Reader from);

/**
 * @brief Reads and validates the outcome of a cancellation.
 * @param from Message from a peer; untrusted.
 * @return The outcome, or nothing if a field is out of range.
 */
[[nodiscard]] std::optional<control::cancel_outcome>
read(wire::CancelOutcome::Reader from);

/**
 * @brief Reads and validates log entries.
 * @param from List from a peer; untrusted.
 * @return The entries, or nothing if their offsets are not consecutive.
 */
[[nodiscard]] std::optional<std::vector<backends::log_entry>>
read(capnp::List<wire::LogEntry>::Reader from);

} // namespace rosemarytrail::rpc::internal

#endif
