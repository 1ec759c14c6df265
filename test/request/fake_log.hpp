#ifndef ROSEMARYTRAIL_TEST_REQUEST_FAKE_LOG_HPP
#define ROSEMARYTRAIL_TEST_REQUEST_FAKE_LOG_HPP

#include <rosemarytrail/backends/log_client.hpp>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::test {

/** @brief Log stream shared by several entry VMs. */
struct fake_stream
{
    std::vector<std::string> entries;
};

/** @brief Log client of one entry VM; queued calls complete in `pump`. */
class fake_log final : public backends::log_client
{
public:
    explicit fake_log(fake_stream& stream)
        : stream_{stream}
    {}

    /** @brief The log is unavailable: calls fail without effect. */
    bool down{false};
    /** @brief Appends take effect, but their acknowledgements are lost. */
    bool lose_acknowledgements{false};
    /** @brief The entry VM is paused: nothing is sent or received. */
    bool paused{false};

    void append(std::string /*stream*/, std::string payload,
                std::function<void(backends::append_outcome)> done) override
    {
        appends_.push_back({std::move(payload), std::move(done)});
    }

    void read(backends::read_options options,
              std::function<void(backends::read_outcome)> done) override
    {
        reads_.push_back({options.from, options.wait, std::move(done)});
    }

    /** @brief Applies queued appends without acknowledging them. */
    void apply_unacknowledged()
    {
        for (auto& it : std::exchange(appends_, {})) {
            stream_.entries.push_back(it.payload);
            unacknowledged_.push_back(std::move(it));
        }
    }

    void pump()
    {
        if (paused) {
            return;
        }
        for (auto& it : std::exchange(unacknowledged_, {})) {
            it.done({});
        }
        for (auto& it : std::exchange(appends_, {})) {
            it.done(append_now(it.payload));
        }
        for (auto& it : std::exchange(reads_, {})) {
            const bool waits = it.wait > duration{} && !down &&
                               it.from >= stream_.entries.size();
            if (waits) {
                reads_.push_back(std::move(it));
            } else {
                it.done(read_now(it.from));
            }
        }
    }

private:
    struct pending_append
    {
        std::string payload;
        std::function<void(backends::append_outcome)> done;
    };

    struct pending_read
    {
        std::uint64_t from{};
        duration wait{};
        std::function<void(backends::read_outcome)> done;
    };

    backends::append_outcome append_now(const std::string& payload)
    {
        if (down) {
            return {};
        }
        stream_.entries.push_back(payload);
        if (lose_acknowledgements) {
            return {};
        }
        return {.result = backends::append_result::appended,
                .offset = stream_.entries.size() - 1};
    }

    backends::read_outcome read_now(std::uint64_t from) const
    {
        if (down) {
            return {};
        }
        backends::read_outcome outcome{.result = backends::read_result::read};
        outcome.next_offset = stream_.entries.size();
        for (auto n = from; n < stream_.entries.size(); ++n) {
            outcome.entries.push_back({n, stream_.entries[n]});
        }
        return outcome;
    }

    fake_stream& stream_;
    std::vector<pending_append> appends_;
    std::vector<pending_append> unacknowledged_;
    std::vector<pending_read> reads_;
};

} // namespace rosemarytrail::test

#endif
