#ifndef ROSEMARYTRAIL_RPC_INTERNAL_HEARTBEAT_CODEC_HPP
#define ROSEMARYTRAIL_RPC_INTERNAL_HEARTBEAT_CODEC_HPP

#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/rpc/generated/peer.capnp.h>

#include <cstdint>
#include <map>
#include <optional>

namespace rosemarytrail::rpc::internal {

/**
 * @brief Delta-encodes the heartbeats of one direction of a connection: those
 * after the first contain only the partitions that changed.
 */
class heartbeat_encoder
{
public:
    /**
     * @brief Writes the next heartbeat.
     * @param to Message to write to.
     * @param value Heartbeat to write.
     */
    void write(wire::Heartbeat::Builder to, const control::heartbeat& value);

    /** @brief Makes the next heartbeat a full one. */
    void reset() noexcept { last_ = 0; }

private:
    std::uint32_t next_{1};
    /** Number of the last heartbeat, the base of the next; zero if none. */
    std::uint32_t last_{0};
    std::map<partition_id, control::partition_summary> sent_;
};

/** @brief Decodes the heartbeats of one direction of a connection. */
class heartbeat_decoder
{
public:
    /**
     * @brief Reads and validates the next heartbeat.
     * @param from Message from a peer; untrusted.
     * @return The full heartbeat, or nothing if a field is out of range or its
     * base is not the previous heartbeat.
     */
    [[nodiscard]] std::optional<control::heartbeat>
    read(wire::Heartbeat::Reader from);

    /** @return True if the next heartbeat must be a full one. */
    [[nodiscard]] bool needs_full() const noexcept { return last_ == 0; }

private:
    [[nodiscard]] bool restore_unchanged(wire::Heartbeat::Reader from,
                                         control::heartbeat& value);

    std::uint32_t last_{0};
    std::map<partition_id, control::partition_summary> known_;
};

} // namespace rosemarytrail::rpc::internal

#endif
