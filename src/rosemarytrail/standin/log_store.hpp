#ifndef ROSEMARYTRAIL_STANDIN_LOG_STORE_HPP
#define ROSEMARYTRAIL_STANDIN_LOG_STORE_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/standin/chance.hpp>
#include <rosemarytrail/standin/fault_mode.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace rosemarytrail::standin {

/** @brief What goes wrong with the log. */
struct log_faults
{
    fault_mode mode{fault_mode::up};
    /** @brief Delay of each answer in mode `slow`. */
    duration slow{std::chrono::milliseconds{500}};
    /** @brief Fraction of appends whose answer is lost after the effect. */
    double lose_answers{};
    /** @brief Cap on appends; a second's worth may come at once. */
    double appends_per_second{500.0};
    /** @brief Entries that each stream keeps. */
    std::size_t kept_entries{1'000'000};
    std::uint64_t seed{1};
};

/** @brief What the log did with an append, and what the caller sees. */
struct append_answer
{
    backends::append_outcome outcome{};
    /** @brief The caller gets no answer: the outcome is unknown to it. */
    bool lost{false};
};

/** @brief Model of the platform's log: streams of entries with offsets. */
class log_store
{
public:
    /** @param faults What goes wrong from the start. */
    explicit log_store(const log_faults& faults = {});

    /** @param faults What goes wrong from now on. */
    void set_faults(const log_faults& faults);

    /** @return What goes wrong. */
    [[nodiscard]] const log_faults& faults() const noexcept { return faults_; }

    /**
     * @brief Appends one entry.
     * @param stream Name of the stream; it is made if there is none.
     * @param payload Bytes of the entry.
     * @param now Present time.
     * @return What became of it.
     */
    [[nodiscard]] append_answer append(const std::string& stream,
                                       std::string payload, time_point now);

    /**
     * @brief Reads what is there; never waits.
     * @param options What to read; at least one entry is returned, if any is.
     * @return The entries.
     */
    [[nodiscard]] backends::read_outcome
    read(const backends::read_options& options) const;

    /**
     * @brief Tells where a stream ends.
     * @param stream Stream to look up.
     * @return Offset that its next append will get.
     */
    [[nodiscard]] std::uint64_t next_offset(const std::string& stream) const;

private:
    struct stream_state
    {
        std::uint64_t first_offset{};
        std::deque<std::string> payloads;
    };

    [[nodiscard]] bool take_permit(time_point now);
    void trim(stream_state& stream) const;

    log_faults faults_;
    chance chance_;
    double permits_;
    time_point refilled_{};
    std::map<std::string, stream_state> streams_;
};

} // namespace rosemarytrail::standin

#endif
