#include <rosemarytrail/logging/event_log.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace rosemarytrail;          // NOLINT
using namespace rosemarytrail::logging; // NOLINT

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/** @brief Pipe whose reader takes only what it is told to. */
class log_pipe
{
public:
    log_pipe() { REQUIRE(::pipe2(ends_.data(), O_CLOEXEC) == 0); }
    log_pipe(const log_pipe&) = delete;
    log_pipe& operator=(const log_pipe&) = delete;
    ~log_pipe()
    {
        close_writer();
        ::close(ends_[0]);
    }

    [[nodiscard]] int writer() const noexcept { return ends_[1]; }

    void close_writer()
    {
        if (ends_[1] >= 0) {
            ::close(ends_[1]);
            ends_[1] = -1;
        }
    }

    /** @return All lines until the writer's end is closed. */
    [[nodiscard]] std::vector<json> read_all() const
    {
        std::string text;
        std::array<char, 65536> buf{};
        for (;;) {
            const auto n = ::read(ends_[0], buf.data(), buf.size());
            if (n <= 0) {
                break;
            }
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
        std::vector<json> result;
        std::istringstream lines{text};
        for (std::string line; std::getline(lines, line);) {
            result.push_back(json::parse(line));
        }
        return result;
    }

private:
    std::array<int, 2> ends_{};
};

constexpr std::uint64_t lines = 20000;

/** @brief Writes far more lines than the pipe and the buffer take. */
void flood(const log_pipe& pipe, duration last_words)
{
    start_events({.descriptor = pipe.writer(),
                  .buffer_bytes = 65536,
                  .budget = {.lines_per_s = 1e9,
                             .burst_lines = 1e9,
                             .bytes_per_s = 1e12,
                             .burst_bytes = 1e12},
                  .last_words = last_words},
                 "p", "n");
    for (std::uint64_t i = 0; i < lines; ++i) {
        event(level::info, "placed", {{"job", std::to_string(i)}});
    }
}

std::uint64_t sum_of(const std::vector<json>& read, const std::string& event)
{
    std::uint64_t result = 0;
    for (const auto& it : read) {
        if (it.at("event") == event) {
            result += std::stoull(it.at("lines").get<std::string>());
        }
    }
    return result;
}

std::uint64_t count_of(const std::vector<json>& read, const std::string& event)
{
    return static_cast<std::uint64_t>(std::ranges::count_if(
        read, [&event](const json& it) { return it.at("event") == event; }));
}

} // namespace

TEST_CASE("An event is one JSON object on one line", "[logging]")
{
    log_pipe pipe;
    start_events({.descriptor = pipe.writer()}, "p", "n1");
    event(level::warning, "store_lost", {{"why", "two\nlines \xff"}});
    stop_events();
    pipe.close_writer();
    const auto read = pipe.read_all();
    REQUIRE(read.size() == 1);
    CHECK(read[0].at("level") == "warning");
    CHECK(read[0].at("program") == "p");
    CHECK(read[0].at("node") == "n1");
    CHECK(read[0].at("event") == "store_lost");
    CHECK(read[0].at("ts_ms").is_number_integer());
}

TEST_CASE("A reader that has stopped holds up neither events nor the end",
          "[logging]")
{
    log_pipe pipe;
    flood(pipe, 10ms);
    // More fits neither into the pipe nor into the buffer.
    CHECK(lost_events().dropped > lines / 2);
    CHECK(lost_events().left_out == 0);
    stop_events();
    pipe.close_writer();
    CHECK(count_of(pipe.read_all(), "placed") < lines / 2);
}

TEST_CASE("Lines that were lost are told of once the reader goes on",
          "[logging]")
{
    log_pipe pipe;
    flood(pipe, 1h);
    std::vector<json> read;
    std::thread reader{[&] {
        read = pipe.read_all();
    }};
    stop_events();
    pipe.close_writer();
    reader.join();
    const auto written = count_of(read, "placed");
    CHECK(written < lines);
    CHECK(written + sum_of(read, "log_lines_dropped") == lines);
}

TEST_CASE("A flood is left out and counted by kind", "[logging]")
{
    log_pipe pipe;
    constexpr std::uint64_t events = 5000;
    start_events({.descriptor = pipe.writer(),
                  .budget = {.lines_per_s = 0.001, .burst_lines = 10}},
                 "p", "n");
    for (std::uint64_t i = 0; i < events; ++i) {
        event(level::info, "decision", {{"what", "placed"}});
    }
    event(level::info, "decision", {{"what", "ended"}});
    CHECK(lost_events().left_out == events - 10);
    stop_events();
    pipe.close_writer();
    const auto read = pipe.read_all();
    CHECK(count_of(read, "decision") == 11);
    CHECK(sum_of(read, "log_lines_left_out") == events - 10);
}
