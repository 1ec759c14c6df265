#ifndef ROSEMARYTRAIL_REQUEST_INTERNAL_INTENT_LOG_STATE_HPP
#define ROSEMARYTRAIL_REQUEST_INTERNAL_INTENT_LOG_STATE_HPP

#include <rosemarytrail/request/intent_log.hpp>
#include <rosemarytrail/state/record.hpp>

#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rosemarytrail::request {

/** @brief State and state transitions of the intent log. */
struct intent_log::internal_state : std::enable_shared_from_this<internal_state>
{
    using callback = std::function<void(intent_outcome)>;

    /** @brief Opening record that is queued but not read back yet. */
    struct pending_open
    {
        intent_key key;
        std::uint64_t sequence{};
        time_point deadline{};
        callback done;
    };

    /** @brief Close by this daemon that the table has not applied yet. */
    struct pending_close
    {
        std::uint64_t sequence{};
        std::uint64_t fingerprint{};
        bool ran{};
        stored_response answer;
    };

    /** @brief Calls to make after the lock is released. */
    struct actions
    {
        std::vector<std::pair<callback, intent_outcome>> calls;
        std::optional<state::pending_append> append;
        std::optional<backends::read_options> read;
    };

    internal_state(const intent_log_options& opts, backends::log_client& client,
                   const time_source& source, liveness query)
        : options{opts}
        , log{client}
        , clock{source}
        , alive{std::move(query)}
        , table{opts.table}
        , queue{opts.appends}
    {}

    void perform(actions todo);
    void plan_io(actions& todo, time_point now);
    void on_append(const backends::append_outcome& outcome);
    void on_read(const backends::read_outcome& outcome);
    void apply(const backends::log_entry& entry, actions& todo, time_point now);
    void resolve(const intent_open_result& it, std::uint64_t sequence,
                 actions& todo, time_point now);
    void skip_trimmed(std::uint64_t from, actions& todo);

    std::optional<intent_outcome> find_outcome(const intent_name& name,
                                               std::uint64_t fingerprint) const;
    intent_outcome evaluate(const intent_state& it,
                            std::uint64_t fingerprint) const;
    intent_outcome evaluate(const pending_close& it,
                            std::uint64_t fingerprint) const;
    std::optional<intent_outcome> refuse() const;
    void open(intent_key key, time_point deadline, callback done,
              actions& todo);
    void close(const intent_key& key, bool ran, stored_response answer);
    void push_unsent_closes();
    void abandon(const pending_open& it, result_code code, actions& todo);
    void expire(actions& todo, time_point now);
    void abandon_opens_if_down(actions& todo);
    bool is_down() const
    {
        return append_failures >= options.failures_until_down ||
               read_failures >= options.failures_until_down;
    }

    intent_log_options options;
    backends::log_client& log;
    const time_source& clock;
    liveness alive;

    mutable std::mutex mutex;
    intent_table table;
    state::append_queue queue;
    std::unordered_map<intent_name, pending_open, intent_name_hash>
        pending_opens;
    std::unordered_map<intent_name, pending_close, intent_name_hash>
        pending_closes;
    std::deque<state::intent_closed> unsent_closes;
    std::uint64_t next_offset{};
    time_point next_read{};
    std::uint32_t append_failures{};
    std::uint32_t read_failures{};
    bool append_in_flight{false};
    bool read_in_flight{false};
    bool caught_up{false};
};

} // namespace rosemarytrail::request

#endif
