#ifndef ROSEMARYTRAIL_CELL_OUTBOX_HPP
#define ROSEMARYTRAIL_CELL_OUTBOX_HPP

#include <rosemarytrail/cell/append_limits.hpp>
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

/** @brief Result of an entry. */
enum class entry_result : std::uint8_t
{
    recorded,
    /** @brief The entry is not recorded and never will be. */
    refused,
    /** @brief The store never accepts the entry. */
    rejected,
    /** @brief The entry may be recorded, now or later. */
    unknown
};

/** @brief Timing parameters and limits of an outbox. */
struct outbox_options
{
    /** @brief Maximum number of concurrent appends; more would only queue at
     * the store. */
    std::size_t in_flight{2};
    /** @brief Minimum timeout of an append; an append without response is
     * repeated. */
    duration timeout{std::chrono::milliseconds{150}};
    /** @brief Maximum timeout of an append to a slow store. */
    duration max_timeout{std::chrono::milliseconds{1500}};
    /** @brief Delay before a failed append is repeated. */
    duration retry_delay{std::chrono::milliseconds{60}};
    /** @brief How long an entry that the store refuses is retried before it is
     * reported as refused. */
    duration refusal_timeout{std::chrono::milliseconds{400}};
    /** @brief How long after its deadline the result of an entry that was sent
     * is awaited. */
    duration result_grace{std::chrono::milliseconds{150}};
    /** @brief Successive appends without response after which entries that were
     * never sent wait for a response to those that were; after a loss of
     * responses, one repeat is answered. */
    std::size_t max_unanswered{2};
    append_limits appends;
};

/**
 * @brief Queue of a node's entries that are to be appended to the ledger.
 *
 * Handles a store that is slow or loses responses: queued entries are batched
 * into one append, the number of concurrent appends is limited, an entry whose
 * response was lost is sent again, and every entry gets a result soon after its
 * deadline. An entry is reported as refused only if no append that includes it
 * has been sent, or the store refused each of them. Entries are idempotent, so
 * a repeated append changes nothing. Entries of an append that the store
 * rejects are sent one by one, so that one of them does not stop the others.
 */
class outbox
{
public:
    /** @brief Receives the result of an entry, once. */
    using callback = std::function<void(entry_result)>;

    /** @brief Appends entries and reports the result. */
    using appender =
        std::function<void(append_request, std::function<void(append_answer)>)>;

    /**
     * @brief Constructs an empty outbox.
     * @param options Timing parameters and limits.
     * @param append Appends entries; must not call back before it returns.
     */
    outbox(const outbox_options& options, appender append);
    outbox(const outbox&) = delete;
    outbox& operator=(const outbox&) = delete;
    ~outbox();

    /**
     * @brief Adds an entry.
     * @param entry Entry.
     * @param deadline Time after which the entry is not sent. If it was sent,
     * its result is reported by this time plus the grace, otherwise by this
     * time.
     * @param done Called once with the result.
     * @param now Current time.
     */
    void add(fleet::ledger_entry entry, time_point deadline, callback done,
             time_point now);

    /**
     * @brief Records that an entry was read back from the ledger.
     * @param key Key of the entry.
     */
    void confirm(std::string_view key);

    /**
     * @brief Sends queued entries and reports the result of entries whose
     * deadline has passed.
     * @param now Current time.
     */
    void run(time_point now);

    /** @return Current append timeout, adapted to the last responses. */
    [[nodiscard]] duration timeout() const noexcept { return timeout_; }

    /**
     * @brief Adapts the timeout to the result of an append.
     * @param answered Whether the response arrived in time.
     * @param took Response time.
     */
    void observe_append(bool answered, duration took);

private:
    struct item;
    using item_list = std::vector<std::shared_ptr<item>>;

    void send(time_point now);
    [[nodiscard]] item_list take_sendable(time_point now);
    void on_append_result(const item_list& sent, const append_answer& answer,
                          time_point sent_at);

    outbox_options options_;
    appender append_;
    duration timeout_;
    item_list waiting_;
    std::size_t in_flight_{};
    /** @brief Successive appends without response. */
    std::size_t unanswered_{};
    time_point next_send_;
    /** @brief Entries without a result, queued or in flight. */
    std::list<std::weak_ptr<item>> open_;
    /** @brief Shared with callbacks in flight; false once the outbox is
     * destroyed. */
    std::shared_ptr<bool> alive_;
};

} // namespace rosemarytrail::cell

#endif
