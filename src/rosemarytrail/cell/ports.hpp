#ifndef ROSEMARYTRAIL_CELL_PORTS_HPP
#define ROSEMARYTRAIL_CELL_PORTS_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/cell_config.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>
#include <rosemarytrail/fleet/worker_calls.hpp>
#include <rosemarytrail/fleet/worker_vm.hpp>
#include <rosemarytrail/fleet/zone_evacuation.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cell {

/** @brief Keyed log in the store. */
enum class feed : std::uint8_t
{
    /** @brief Jobs, their progress and the leader; written by the nodes. */
    ledger,
    /** @brief Configuration, published by the operator. */
    configuration,
    /** @brief Worker directory, written by the workers. */
    workers,
    /** @brief Announcement of the current leader, for nodes that do not follow
     * the ledger. */
    leader
};

/**
 * @brief Returns the name of a feed for log lines.
 * @param which Feed.
 * @return Name of the feed.
 */
[[nodiscard]] constexpr std::string_view to_text(feed which) noexcept
{
    switch (which) {
    case feed::ledger:
        return "ledger";
    case feed::configuration:
        return "configuration";
    case feed::workers:
        return "workers";
    case feed::leader:
        break;
    }
    return "leader";
}

/** @brief Record of a feed. */
struct feed_record
{
    std::string key;
    /** @brief Absent if the key was removed. */
    std::optional<std::string> value;
};

/** @brief Result of a call to the store. */
enum class store_result : std::uint8_t
{
    done,
    /** @brief The store rejected the call; nothing was done. It may accept the
     * call later. */
    refused,
    /** @brief The store never accepts the call, such as one that is too large;
     * nothing was done. */
    rejected,
    /** @brief The store knows a writer with a higher epoch. */
    fenced,
    /** @brief The store expected another sequence number. */
    out_of_sequence,
    /** @brief The requested records are no longer retained. */
    history_lost,
    /** @brief No response: the call may have been executed, or may be later. */
    unknown
};

/**
 * @brief Returns the name of a result for log lines.
 * @param it Result.
 * @return Its name.
 */
[[nodiscard]] constexpr std::string_view to_text(store_result it) noexcept
{
    switch (it) {
    case store_result::done:
        return "done";
    case store_result::refused:
        return "refused";
    case store_result::rejected:
        return "rejected";
    case store_result::fenced:
        return "fenced";
    case store_result::out_of_sequence:
        return "out of sequence";
    case store_result::history_lost:
        return "history lost";
    case store_result::unknown:
        break;
    }
    return "unknown";
}

/** @brief Identity of the leader's appends, which the store verifies. */
struct fenced_writer
{
    std::uint64_t epoch{};
    std::uint64_t sequence{};
};

/** @brief Entries to append to a feed atomically. */
struct append_request
{
    /** @brief Feed; nodes write only to `ledger` and `leader`. */
    feed which{feed::ledger};
    std::vector<fleet::ledger_entry> entries;
    std::optional<fenced_writer> writer;
    /** @brief How long to wait for the response. */
    duration timeout{std::chrono::milliseconds{1500}};
    /** @brief Entries that wait for an append of another node are not appended
     * later than this. */
    time_point send_by{time_point::max()};
};

/** @brief Response to an append. */
struct append_answer
{
    store_result result{store_result::unknown};
    /** @brief Sequence number that the store expected, if the append was out of
     * sequence. */
    std::optional<std::uint64_t> expected_sequence;
    /** @brief The append was refused before the store was called; it may be
     * repeated. */
    bool not_sent{false};
};

/** @brief Read of a feed from an offset. */
struct read_request
{
    feed which{feed::ledger};
    /** @brief Offset of the first record. */
    std::int64_t from{};
    /** @brief How long the store may wait for a new record. */
    duration wait{};
    /** @brief Maximum size of the page in bytes. */
    std::size_t max_bytes{std::size_t{1} << 20U};
};

/** @brief Page of a feed. */
struct feed_page
{
    store_result result{store_result::unknown};
    std::vector<feed_record> records;
    /** @brief Offset of the next read. */
    std::int64_t next_offset{};
    /** @brief The page reached the end of the feed at the time of the read. */
    bool at_end{false};
};

/** @brief Page of the newest records of each key. */
struct newest_page
{
    store_result result{store_result::unknown};
    std::vector<feed_record> records;
    std::int64_t end_offset{};
    bool more{false};
};

/** @brief Group of nodes in the store. */
enum class node_group : std::uint8_t
{
    /** @brief All live nodes. */
    members,
    /** @brief Nodes that may lead; the store elects one of them. */
    candidates
};

/** @brief Result of joining a group. */
struct membership
{
    store_result result{store_result::unknown};
    std::uint64_t generation{};
    bool elected{false};
    /** @brief The store lists the node as a member, so that other nodes find
     * it. */
    bool listed{true};
};

/** @brief Store that all nodes share; all calls are asynchronous. */
class store
{
public:
    virtual ~store() = default;

    /**
     * @brief Appends entries to a feed.
     * @param request Entries and preconditions.
     * @param done Called once with the result.
     */
    virtual void append(append_request request,
                        std::function<void(append_answer)> done) = 0;

    /**
     * @brief Reads a feed from an offset.
     * @param request Offset and limits.
     * @param done Called once with the records.
     */
    virtual void read(const read_request& request,
                      std::function<void(feed_page)> done) = 0;

    /**
     * @brief Reads the newest record of each key.
     * @param which Feed.
     * @param after Key after which the page starts; empty for the first page.
     * @param done Called once with the page.
     */
    virtual void newest(feed which, std::string_view after,
                        std::function<void(newest_page)> done) = 0;

    /**
     * @brief Joins a group of nodes, or renews the membership.
     * @param group Group.
     * @param member Name of this incarnation.
     * @param generation Last known generation of the group; zero at first.
     * @param lifetime A membership that is not renewed for longer expires.
     * @param done Called once with the result.
     */
    virtual void join(node_group group, std::string_view member,
                      std::uint64_t generation, duration lifetime,
                      std::function<void(membership)> done) = 0;

    /**
     * @brief Lists the live members.
     * @param done Called once with their names; nothing if the call failed.
     */
    virtual void members(
        std::function<void(std::optional<std::vector<std::string>>)> done) = 0;

    /**
     * @brief Leaves a group immediately.
     * @param group Group.
     * @param member Name of this incarnation.
     * @param done Called once with the result.
     */
    virtual void leave(node_group group, std::string_view member,
                       std::function<void(store_result)> done) = 0;
};

/** @brief Calls to workers; all calls are asynchronous. */
class worker_port
{
public:
    virtual ~worker_port() = default;

    /**
     * @brief Starts a run of a task.
     * @param request Start request.
     * @param done Called once with the response.
     */
    virtual void start(const fleet::start_request& request,
                       std::function<void(fleet::start_response)> done) = 0;

    /**
     * @brief Stops a run of a task.
     * @param request Stop request.
     * @param done Called once; true if the worker acknowledged the request.
     */
    virtual void stop(const fleet::stop_request& request,
                      std::function<void(bool)> done) = 0;

    /**
     * @brief Sets the CPU limit of a task.
     * @param request Throttle request.
     * @param done Called once; true if the worker acknowledged the request.
     */
    virtual void throttle(const fleet::throttle_request& request,
                          std::function<void(bool)> done) = 0;

    /**
     * @brief Polls a worker: renews its lease and reads the state of its runs.
     * @param request Poll request.
     * @param done Called once with the result and the response.
     */
    virtual void poll(
        const fleet::poll_request& request,
        std::function<void(fleet::poll_result, fleet::poll_response)> done) = 0;
};

/** @brief Response of the advice service. */
struct advice_answer
{
    bool answered{false};
    fleet::advice_grant grant;
};

/** @brief Calls to the advice service; all calls are asynchronous. */
class advice_port
{
public:
    virtual ~advice_port() = default;

    /**
     * @brief Requests advice on which workers may run a step.
     * @param step Step.
     * @param workers Ids of the candidate workers.
     * @param timeout How long to wait for the response.
     * @param done Called once with the response.
     */
    virtual void advise(const fleet::step_key& step,
                        std::span<const std::string> workers, duration timeout,
                        std::function<void(advice_answer)> done) = 0;
};

/** @brief Decodes the records of other writers. */
class decoder
{
public:
    virtual ~decoder() = default;

    /**
     * @brief Decodes a record of the configuration feed.
     * @param record Record.
     * @return Configuration, or nothing if the record is of another kind or
     * malformed.
     */
    [[nodiscard]] virtual std::optional<fleet::cell_config>
    configuration(const feed_record& record) const = 0;

    /**
     * @brief Decodes a request to evacuate a zone, which is a record of the
     * configuration feed.
     * @param record Record.
     * @return Request, or nothing if the record is of another kind.
     */
    [[nodiscard]] virtual std::optional<fleet::zone_evacuation>
    evacuation(const feed_record& record) const = 0;

    /**
     * @brief Decodes a record of the worker directory.
     * @param record Record.
     * @param why Set to the reason if a record that has a value names no worker
     * to use; otherwise empty.
     * @return Worker, or nothing if the record describes no usable worker.
     */
    [[nodiscard]] virtual std::optional<fleet::worker_vm>
    worker(const feed_record& record, std::string& why) const = 0;
};

} // namespace rosemarytrail::cell

#endif
