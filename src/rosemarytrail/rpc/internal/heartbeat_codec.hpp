#ifndef ROSEMARYTRAIL_RPC_INTERNAL_HEARTBEAT_CODEC_HPP
#define ROSEMARYTRAIL_RPC_INTERNAL_HEARTBEAT_CODEC_HPP

#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/rpc/generated/peer.capnp.h>

#include <cstdint>
#include <map>
#include <optional>

namespace rosemarytrail::rpc::internal {

/**
 * @brief Writes the heartbeats of one direction of a connection: after the
 * first, only the partitions that changed.
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

    /** @brief Makes the next heartbeat a whole one. */
    void reset() noexcept { last_ = 0; }

private:
    std::uint32_t next_{1};
    /** Number that the peer has; zero if none. */
    std::uint32_t last_{0};
    std::map<partition_id, control::partition_summary> sent_;
};

/** @brief Reads the heartbeats of one direction of a connection. */
class heartbeat_decoder
{
public:
    /**
     * @brief Reads and checks the next heartbeat.
     * @param from Message of a peer; may be hostile.
     * @return The whole heartbeat; nothing if a field is out of range or its
     * base is not the one before.
     */
    [[nodiscard]] std::optional<control::heartbeat>
    read(wire::Heartbeat::Reader from);

    /** @return True if only a whole heartbeat can be read next. */
    [[nodiscard]] bool needs_whole() const noexcept { return last_ == 0; }

private:
    [[nodiscard]] bool complete(wire::Heartbeat::Reader from,
                                control::heartbeat& value);

    std::uint32_t last_{0};
    std::map<partition_id, control::partition_summary> known_;
};

} // namespace rosemarytrail::rpc::internal

#endif
