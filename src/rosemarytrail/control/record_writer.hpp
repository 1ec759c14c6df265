#ifndef ROSEMARYTRAIL_CONTROL_RECORD_WRITER_HPP
#define ROSEMARYTRAIL_CONTROL_RECORD_WRITER_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/state/append_queue.hpp>
#include <rosemarytrail/state/cell_state.hpp>
#include <rosemarytrail/state/record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::control {

/** @brief Outcome of a record that this process wrote. */
struct write_outcome
{
    /** @brief Result from the fold; nothing if the record was never sent. */
    std::optional<state::record_result> result{};
};

/**
 * @brief Appends records by group commit and reports the result of each record
 * to the caller that wrote it.
 */
class record_writer
{
public:
    using callback = std::function<void(const write_outcome&)>;

    /**
     * @brief Constructs a writer.
     * @param options Limits and the incarnation of the writer.
     * @param log Log to append to; outlives the writer.
     * @param clock Time source for responses of the log; outlives the writer.
     * @param stream Stream to append to.
     */
    record_writer(state::append_queue_options options,
                  backends::log_client& log, const time_source& clock,
                  std::string stream);

    /**
     * @brief Queues a record.
     * @param value Record to append.
     * @param done Called once the record is applied or dropped.
     * @param why Reason; set only if false is returned.
     * @return False if the queue is full; then `done` is not called.
     */
    [[nodiscard]] bool push(state::record value, callback done, reason& why);

    /**
     * @brief Sends the next append if one is due.
     * @param now Current time.
     */
    void tick(time_point now);

    /**
     * @brief Handles the results of an applied batch of this writer.
     * @param sequence Sequence number of the batch.
     * @param results Result of each of its records.
     */
    void applied(std::uint64_t sequence,
                 std::span<const state::record_result> results);

    /** @brief Drops all unsent records. */
    void drop_unsent();

    /** @return Consecutive failed appends. */
    [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

    /** @return Pending records, including those in flight. */
    [[nodiscard]] std::size_t waiting() const noexcept;

    /** @return Appends sent, including retries. */
    [[nodiscard]] std::uint64_t appends() const noexcept { return appends_; }

    /** @return Bytes sent, including retries. */
    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

private:
    void on_appended(const backends::append_outcome& outcome);

    state::append_queue queue_;
    backends::log_client& log_;
    const time_source& clock_;
    std::string stream_;
    std::map<std::uint64_t, std::vector<callback>> waiting_;
    std::optional<std::uint64_t> in_flight_{};
    std::uint32_t failures_{};
    std::uint64_t appends_{};
    std::uint64_t bytes_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace rosemarytrail::control

#endif
