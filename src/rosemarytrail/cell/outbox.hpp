#ifndef ROSEMARYTRAIL_CELL_OUTBOX_HPP
#define ROSEMARYTRAIL_CELL_OUTBOX_HPP

#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>
#include <vector>

namespace rosemarytrail::cell {

/** @brief What became of an entry. */
enum class entry_result : std::uint8_t
{
    recorded,
    /** @brief It is not on record and never will be. */
    refused,
    /** @brief It may be on record, now or later. */
    unknown
};

/** @brief How entries are appended. */
struct outbox_options
{
    /** @brief Appends under way at once; more would only queue at the store. */
    std::size_t in_flight{2};
    /** @brief Least time before an unanswered append is sent again. */
    duration timeout{std::chrono::milliseconds{150}};
    /** @brief Greatest such time, for a slow store. */
    duration max_timeout{std::chrono::milliseconds{1500}};
    /** @brief Pause before an append without effect is sent again. */
    duration retry_delay{std::chrono::milliseconds{60}};
    /** @brief An entry that the store refuses is tried for this long. */
    duration refusal_timeout{std::chrono::milliseconds{400}};
};

/**
 * @brief Entries of one node on their way to the ledger.
 *
 * Answers a store that is slow or loses answers: what waits goes out in one
 * call, few calls are under way, an entry whose answer was lost is sent again,
 * and each entry has its answer in time. Sent again, an entry changes nothing.
 */
class outbox
{
public:
    /** @brief Receives what became of an entry, once. */
    using callback = std::function<void(entry_result)>;

    /** @brief Appends entries and tells what became of them. */
    using appender =
        std::function<void(append_request, std::function<void(append_answer)>)>;

    /**
     * @brief Prepares an empty outbox.
     * @param options How to append.
     * @param append Appends; must not call back before it returns.
     */
    outbox(const outbox_options& options, appender append);
    outbox(const outbox&) = delete;
    outbox& operator=(const outbox&) = delete;
    ~outbox();

    /**
     * @brief Adds an entry.
     * @param entry Entry.
     * @param deadline When its answer is due at the latest.
     * @param done Called once with what became of it.
     * @param now Present time.
     */
    void add(fleet::ledger_entry entry, time_point deadline, callback done,
             time_point now);

    /**
     * @brief Notes that an entry was read back from the ledger.
     * @param key Key of the entry.
     */
    void confirm(std::string_view key);

    /**
     * @brief Sends what is due and answers what is out of time.
     * @param now Present time.
     */
    void run(time_point now);

    /** @return Time to wait for an answer, by the latest ones. */
    [[nodiscard]] duration timeout() const noexcept { return timeout_; }

    /**
     * @brief Learns from an append.
     * @param answered Whether its answer came in time.
     * @param took Time that the answer took.
     */
    void observe_append(bool answered, duration took);

private:
    struct item;
    using item_list = std::vector<std::shared_ptr<item>>;

    void send(time_point now);
    void on_append_result(const item_list& sent, const append_answer& answer,
                          time_point sent_at);

    outbox_options options_;
    appender append_;
    duration timeout_;
    item_list waiting_;
    std::size_t in_flight_{};
    time_point next_send_;
    /** @brief Entries without an answer, waiting or under way. */
    std::list<std::weak_ptr<item>> open_;
    /** @brief Tells late answers that the outbox is gone. */
    std::shared_ptr<bool> alive_;
};

} // namespace rosemarytrail::cell

#endif
