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

/** @brief Options of the intent log of an entry VM. */
struct intent_log_options
{
    /** @brief Log stream that contains the intents. */
    std::string stream{"intents"};
    /** @brief Append options; `writer` identifies this daemon. */
    state::append_queue_options appends{};
    intent_table_options table{};
    /**
     * @brief Maximum time to open an intent, regardless of its deadline; the
     * request is not run after it.
     */
    duration open_timeout{std::chrono::seconds{2}};
    /**
     * @brief Maximum time that the log delays a read to wait for new entries.
     */
    duration read_wait{std::chrono::seconds{1}};
    /** @brief Delay before a failed read is retried. */
    duration read_retry{std::chrono::milliseconds{100}};
    /**
     * @brief Consecutive append or read failures after which the log is
     * considered down.
     */
    std::uint32_t failures_until_down{2};
    /**
     * @brief Maximum response body stored for replay, in bytes; of a response
     * with a larger body only the status is stored.
     */
    std::size_t max_stored_body_bytes{std::size_t{16} << 10U};
};

/**
 * @brief Intent store backed by a log stream. Thread-safe.
 *
 * Event-driven: makes progress on `open`, `close`, responses of the log and
 * `tick`. No callback is invoked with the lock held except the liveness query.
 */
class intent_log final : public intent_store
{
public:
    /**
     * @brief Checks whether a daemon is alive. Called on any thread; must not
     * block.
     */
    using liveness = std::function<bool(const incarnation_id&)>;

    /**
     * @brief Creates a store that has not read the stream yet.
     * @param options Options.
     * @param log Log client; must outlive the store.
     * @param clock Source of the current time.
     * @param alive Checks whether the writer of an intent is a live member.
     */
    intent_log(const intent_log_options& options, backends::log_client& log,
               const time_source& clock, liveness alive);
    intent_log(const intent_log&) = delete;
    intent_log& operator=(const intent_log&) = delete;
    ~intent_log() override;

    void open(intent_key key, time_point deadline,
              std::function<void(intent_outcome)> done) override;

    void close(const intent_key& key, bool ran,
               stored_response answer) override;

    /**
     * @brief Expires pending intents and starts due appends and reads. Must be
     * called every 10 to 20 ms.
     * @param now Current time.
     */
    void tick(time_point now);

    /** @return True once the stream has been read to its end. */
    [[nodiscard]] bool caught_up() const;

    /** @return True if recent appends or reads failed. */
    [[nodiscard]] bool log_down() const;

    /**
     * @brief Checks whether all pending work has reached the log.
     * @return True if no intent waits to be opened and every close is in the
     * log.
     */
    [[nodiscard]] bool flushed() const;

private:
    struct internal_state;
    std::shared_ptr<internal_state> state_;
};

} // namespace rosemarytrail::request

#endif
