#ifndef ROSEMARYTRAIL_REQUEST_INTENT_LOG_HPP
#define ROSEMARYTRAIL_REQUEST_INTENT_LOG_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/request/intent_store.hpp>
#include <rosemarytrail/request/intent_table.hpp>
#include <rosemarytrail/state/append_queue.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rosemarytrail::request {

/** @brief How an entry VM keeps intents in the log. */
struct intent_log_options
{
    /** @brief Stream of the log. */
    std::string stream{"intents"};
    /** @brief Bounds of the appends; its `writer` is this daemon. */
    state::append_queue_options appends{};
    intent_table_options table{};
    /** @brief Longest wait of an opening, whatever its deadline. */
    duration open_timeout{std::chrono::seconds{2}};
    /** @brief How long the log may hold a read back for new entries. */
    duration read_wait{std::chrono::seconds{1}};
    /** @brief Wait after a failed read. */
    duration read_retry{std::chrono::milliseconds{100}};
    /** @brief Failures in a row after which the log counts as down. */
    std::uint32_t failures_until_down{2};
    /** @brief Largest body that is kept to be given again, in bytes. */
    std::size_t kept_body_bytes{std::size_t{16} << 10U};
};

/**
 * @brief Keeps intents in the log's stream; any thread may call it.
 *
 * Events drive it: an opening, an answer of the log, or `tick`. It calls
 * nothing while it holds its lock but the query of liveness.
 */
class intent_log final : public intent_store
{
public:
    /** @brief Tells whether a daemon is alive; any thread, must not block. */
    using liveness = std::function<bool(const incarnation_id&)>;

    /**
     * @brief Makes a store that has read nothing yet.
     * @param options Bounds and times.
     * @param log Log; it outlives the store.
     * @param clock Present time.
     * @param alive Tells whether the writer of an intent is a live member.
     */
    intent_log(const intent_log_options& options, backends::log_client& log,
               const time_source& clock, liveness alive);
    intent_log(const intent_log&) = delete;
    intent_log& operator=(const intent_log&) = delete;
    ~intent_log() override;

    void open(intent_key key, time_point deadline,
              std::function<void(intent_outcome)> done) override;

    void close(const intent_key& key, bool ran, kept_answer answer) override;

    /**
     * @brief Does what is due; to be called every 10 to 20 ms.
     * @param now Present time.
     */
    void tick(time_point now);

    /** @return True once it has read the stream to its tail. */
    [[nodiscard]] bool caught_up() const;

    /** @return True if the log did not answer lately. */
    [[nodiscard]] bool log_down() const;

    /** @return True if all that was closed is in the log. */
    [[nodiscard]] bool flushed() const;

private:
    struct internal_state;
    std::shared_ptr<internal_state> state_;
};

} // namespace rosemarytrail::request

#endif
