#ifndef ROSEMARYTRAIL_CELL_PORTS_HPP
#define ROSEMARYTRAIL_CELL_PORTS_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/cell_config.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>
#include <rosemarytrail/fleet/worker_calls.hpp>
#include <rosemarytrail/fleet/worker_vm.hpp>

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
    /** @brief What the operator publishes. */
    configuration,
    /** @brief Directory that the workers write. */
    workers
};

/** @brief Record of a feed. */
struct feed_record
{
    std::string key;
    /** @brief Absent if the key was removed. */
    std::optional<std::string> value;
};

/** @brief What became of a call to the store. */
enum class store_result : std::uint8_t
{
    done,
    /** @brief The store refused; nothing was done. */
    refused,
    /** @brief The feed does not end where the call expected it to. */
    conflict,
    /** @brief A writer with a higher epoch exists. */
    fenced,
    /** @brief Another sequence number was due. */
    out_of_sequence,
    /** @brief The records asked for are no longer kept. */
    history_lost,
    /** @brief No answer: the call may have been carried out, also later. */
    unknown
};

/** @brief Identity of the leader's appends, which the store checks. */
struct fenced_writer
{
    std::uint64_t epoch{};
    std::uint64_t sequence{};
};

/** @brief Entries to add to the ledger, all or none. */
struct append_request
{
    std::vector<fleet::ledger_entry> entries;
    /** @brief Offset at which the ledger must end. */
    std::optional<std::int64_t> expected_end;
    std::optional<fenced_writer> writer;
    /** @brief How long to wait for the answer. */
    duration timeout{std::chrono::milliseconds{1500}};
};

/** @brief Answer to an append. */
struct append_answer
{
    store_result result{store_result::unknown};
    /** @brief Sequence number that was due, if it was another one. */
    std::optional<std::uint64_t> expected_sequence;
};

/** @brief Part of a feed. */
struct feed_page
{
    store_result result{store_result::unknown};
    std::vector<feed_record> records;
    /** @brief Offset to read on from. */
    std::int64_t next_offset{};
    /** @brief The feed ended there when the page was read. */
    bool at_end{false};
};

/** @brief Newest record of each key, a page at a time. */
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
    /** @brief All nodes that live. */
    members,
    /** @brief Nodes that may lead; one of them is chosen. */
    candidates
};

/** @brief Whether this node is to lead. */
struct membership
{
    store_result result{store_result::unknown};
    std::uint64_t generation{};
    bool chosen{false};
};

/** @brief Store that all nodes share; calls return at once. */
class store
{
public:
    virtual ~store() = default;

    /**
     * @brief Appends to the ledger.
     * @param request What to append.
     * @param done Called once with what became of it.
     */
    virtual void append(append_request request,
                        std::function<void(append_answer)> done) = 0;

    /**
     * @brief Reads a feed from an offset.
     * @param which Feed.
     * @param from Offset of the first record wanted.
     * @param wait How long the store may wait for a record.
     * @param done Called once with the records.
     */
    virtual void read(feed which, std::int64_t from, duration wait,
                      std::function<void(feed_page)> done) = 0;

    /**
     * @brief Reads the newest record of each key.
     * @param which Feed.
     * @param after Key to go on after; empty to begin.
     * @param done Called once with a page.
     */
    virtual void newest(feed which, std::string_view after,
                        std::function<void(newest_page)> done) = 0;

    /**
     * @brief Joins a group of nodes, or stays in it.
     * @param group Group.
     * @param member Name of this incarnation.
     * @param generation Latest generation known; zero at first.
     * @param lifetime A member silent for longer is struck off.
     * @param done Called once.
     */
    virtual void join(node_group group, std::string_view member,
                      std::uint64_t generation, duration lifetime,
                      std::function<void(membership)> done) = 0;

    /**
     * @brief Lists the nodes that have joined and live.
     * @param done Called once with their names; nothing if the call failed.
     */
    virtual void members(
        std::function<void(std::optional<std::vector<std::string>>)> done) = 0;

    /**
     * @brief Leaves a group at once.
     * @param group Group.
     * @param member Name of this incarnation.
     * @param done Called once.
     */
    virtual void leave(node_group group, std::string_view member,
                       std::function<void(store_result)> done) = 0;
};

/** @brief Calls to workers; they return at once. */
class worker_port
{
public:
    virtual ~worker_port() = default;

    /**
     * @brief Orders a start.
     * @param request Order.
     * @param done Called once with what became of it.
     */
    virtual void start(const fleet::start_order& request,
                       std::function<void(fleet::start_result)> done) = 0;

    /**
     * @brief Orders a stop.
     * @param request Order.
     * @param done Called once; true if the worker acknowledged it.
     */
    virtual void stop(const fleet::stop_order& request,
                      std::function<void(bool)> done) = 0;

    /**
     * @brief Sets the pace of a task.
     * @param request Order.
     * @param done Called once; true if the worker acknowledged it.
     */
    virtual void pace(const fleet::pace_order& request,
                      std::function<void(bool)> done) = 0;

    /**
     * @brief Renews a worker's lease and reads what runs there.
     * @param request Order.
     * @param done Called once with the answer.
     */
    virtual void
    hold(const fleet::hold_order& request,
         std::function<void(fleet::hold_result, fleet::hold_answer)> done) = 0;
};

/** @brief Answer of the advice service. */
struct advice_answer
{
    bool answered{false};
    fleet::advice_grant grant;
};

/** @brief Calls to the advice service; they return at once. */
class advice_port
{
public:
    virtual ~advice_port() = default;

    /**
     * @brief Asks which workers may run a step.
     * @param step Step.
     * @param workers Ids of the workers to ask about.
     * @param timeout How long the answer may take.
     * @param done Called once.
     */
    virtual void advise(const fleet::step_key& step,
                        std::span<const std::string> workers, duration timeout,
                        std::function<void(advice_answer)> done) = 0;
};

/** @brief Reads records that others write, in their formats. */
class decoder
{
public:
    virtual ~decoder() = default;

    /**
     * @brief Reads a record of the configuration feed.
     * @param record Record.
     * @return Configuration, or nothing if it is of another kind or damaged.
     */
    [[nodiscard]] virtual std::optional<fleet::cell_config>
    configuration(const feed_record& record) const = 0;

    /**
     * @brief Reads a record of the directory.
     * @param record Record.
     * @return Worker, or nothing if it names no worker to use.
     */
    [[nodiscard]] virtual std::optional<fleet::worker_vm>
    worker(const feed_record& record) const = 0;
};

} // namespace rosemarytrail::cell

#endif
