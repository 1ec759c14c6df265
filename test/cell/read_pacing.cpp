#include <rosemarytrail/cell/read_pacing.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <vector>

namespace rosemarytrail::cell {

namespace {

using namespace std::chrono_literals;

constexpr time_point start{std::chrono::seconds{1000}};
constexpr duration step = 1ms;
/** @brief A response that takes longer is given up. */
constexpr duration read_timeout = 1500ms;

/** @brief One reader that follows a feed. */
struct reader
{
    explicit reader(const read_pacing_options& options)
        : pacing{options}
    {}

    read_pacing pacing;
    double offset{};
    bool waiting{false};
    time_point sent;
    time_point next_read{start};
};

/** @brief Response that the store sends; one after another. */
struct response
{
    std::size_t to{};
    time_point sent;
    double bytes{};
    double left{};
};

/**
 * @brief Readers behind a store of limited bandwidth, in virtual time.
 *
 * A response that a reader has given up still occupies the bandwidth.
 */
class model
{
public:
    static constexpr double store_bytes_per_s = 80e6;
    static constexpr double feed_bytes_per_s = 0.3e6;

    model(std::size_t n, const read_pacing_options& options)
    {
        for (std::size_t i = 0; i < n; ++i) {
            auto own = options;
            own.seed = static_cast<std::uint32_t>(i + 1);
            readers_.emplace_back(own);
        }
    }

    /** @brief Plays a span; the store answers nothing while it is away. */
    void play(duration length, bool away)
    {
        const auto end = now_ + length;
        for (; now_ < end; now_ += step) {
            feed_end_ += feed_bytes_per_s * seconds(step);
            send(away);
            for (std::size_t i = 0; i < readers_.size(); ++i) {
                read(i, away);
            }
        }
    }

    /** @return Age of the oldest copy, in seconds. */
    [[nodiscard]] double worst_lag() const
    {
        const auto last =
            std::ranges::min_element(readers_, {}, &reader::offset);
        return (feed_end_ - last->offset) / feed_bytes_per_s;
    }

private:
    [[nodiscard]] static double seconds(duration it)
    {
        return std::chrono::duration<double>{it}.count();
    }

    void send(bool away)
    {
        auto budget = away ? 0 : store_bytes_per_s * seconds(step);
        while (budget > 0 && !queue_.empty()) {
            auto& it = queue_.front();
            const auto n = std::min(budget, it.left);
            it.left -= n;
            budget -= n;
            if (it.left > 0) {
                return;
            }
            auto& to = readers_[it.to];
            if (to.waiting && to.sent == it.sent) {
                to.waiting = false;
                to.offset += it.bytes;
                to.pacing.on_success(now_);
                to.next_read = now_;
            }
            queue_.pop_front();
        }
    }

    void read(std::size_t index, bool away)
    {
        auto& it = readers_[index];
        if (it.waiting && now_ - it.sent > read_timeout) {
            it.waiting = false;
            it.next_read = now_ + it.pacing.on_failure(true, now_);
        }
        if (it.waiting || now_ < it.next_read) {
            return;
        }
        it.waiting = true;
        it.sent = now_;
        if (!away) {
            const auto bytes =
                std::min(feed_end_ - it.offset,
                         static_cast<double>(it.pacing.page_bytes()));
            queue_.push_back(
                {.to = index, .sent = now_, .bytes = bytes, .left = bytes});
        }
    }

    time_point now_{start};
    double feed_end_{};
    std::vector<reader> readers_;
    std::deque<response> queue_;
};

/** @brief Repeats a read at once and in full size, like a reader without
 * pacing. */
constexpr read_pacing_options unpaced{
    .min_delay = 100ms, .max_delay = 100ms, .min_bytes = std::size_t{1} << 20U};

constexpr std::size_t readers = 147;

} // namespace

TEST_CASE("147 readers are current within seconds after the store was away",
          "[pacing]")
{
    model paced{readers, {}};
    paced.play(3s, false);
    CHECK(paced.worst_lag() < 1);
    paced.play(5s, true);
    paced.play(9s, false);
    CHECK(paced.worst_lag() < 1);
}

TEST_CASE("Readers without pacing stay behind after the store was away",
          "[pacing]")
{
    model it{readers, unpaced};
    it.play(3s, false);
    it.play(5s, true);
    it.play(9s, false);
    CHECK(it.worst_lag() > 3);
}

TEST_CASE("The delay between failed reads grows and varies between readers",
          "[pacing]")
{
    read_pacing first{{.seed = 1}};
    read_pacing second{{.seed = 2}};
    const auto a = first.on_failure(false, start);
    const auto b = second.on_failure(false, start);
    CHECK(a != b);
    CHECK(a >= 50ms);
    CHECK(a <= 150ms);
    duration last{};
    for (int n = 0; n < 100; ++n) {
        last = first.on_failure(false, start);
    }
    CHECK(last >= 500ms);
    CHECK(last <= 1500ms);
    CHECK(first.page_bytes() == read_pacing_options{}.max_bytes);
    CHECK(first.on_success(start + 7s) == duration{7s});
    CHECK_FALSE(first.on_success(start + 8s));
    CHECK(first.on_failure(false, start) <= 150ms);
}

TEST_CASE("Pages shrink while reads time out and grow back", "[pacing]")
{
    const read_pacing_options options;
    read_pacing it{options};
    CHECK(it.page_bytes() == options.max_bytes);
    for (int n = 0; n < 20; ++n) {
        (void)it.on_failure(true, start);
    }
    CHECK(it.page_bytes() == options.min_bytes);
    for (int n = 0; n < 20; ++n) {
        it.on_success(start);
    }
    CHECK(it.page_bytes() == options.max_bytes);
}

} // namespace rosemarytrail::cell
