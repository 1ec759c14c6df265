#include "proxy_fixture.hpp"

#include <array>
#include <atomic>
#include <random>

namespace rosemarytrail::test {

namespace {

constexpr std::chrono::milliseconds long_deadline{10'000};
constexpr std::chrono::milliseconds late_by{400};
constexpr std::chrono::milliseconds short_deadline{300};

bool is_late(const std::string& path)
{
    return path.find("late") != std::string::npos;
}

/** @brief Injects a random fault into one in four responses, from a seed. */
raw_upstream::fault_source seeded_faults(unsigned seed)
{
    struct source
    {
        std::mutex mutex;
        std::mt19937 random;
    };
    auto it = std::make_shared<source>();
    it->random.seed(seed);
    return [it](const std::string& path) {
        if (is_late(path)) {
            return wire_fault::late;
        }
        constexpr std::array faults{wire_fault::crossed, wire_fault::cut_off,
                                    wire_fault::duplicated,
                                    wire_fault::refused};
        const std::lock_guard lock{it->mutex};
        const auto n = it->random() % (4 * faults.size());
        return n < faults.size() ? faults[n] : wire_fault::none;
    };
}

raw_upstream::fault_source always(wire_fault fault)
{
    return [fault](const std::string& /*path*/) {
        return fault;
    };
}

void wait_until_idle(const proxy_fixture& it)
{
    while (it.proxy.in_flight() > 0) {
        std::this_thread::yield();
    }
}

/** @brief Collects the responses of concurrent requests. */
struct answers
{
    void wait_for(std::size_t n)
    {
        while (count.load() < n) {
            std::this_thread::yield();
        }
    }

    std::atomic<std::size_t> count{0};
    std::mutex mutex;
    std::map<std::string, http::client_response> by_path;
};

void send(proxy_fixture& it, answers& all, const std::string& method,
          const std::string& path, std::chrono::milliseconds deadline)
{
    it.caller->fetch(it.make(method, path, deadline),
                     [&all, path](http::client_response result) {
                         {
                             const std::lock_guard lock{all.mutex};
                             all.by_path[path] = std::move(result);
                         }
                         all.count.fetch_add(1);
                     });
}

} // namespace

TEST_CASE("Faulty responses are never forwarded to a caller as complete ones",
          "[proxy]")
{
    constexpr std::size_t gets = 600;
    constexpr std::size_t posts = 200;
    constexpr std::size_t late = 20;
    proxy_fixture it{4, seeded_faults(1), late_by};
    answers all;
    for (std::size_t n = 0; n < gets; ++n) {
        send(it, all, "GET", "g" + std::to_string(n), long_deadline);
    }
    for (std::size_t n = 0; n < posts; ++n) {
        send(it, all, "POST", "p" + std::to_string(n), long_deadline);
    }
    for (std::size_t n = 0; n < late; ++n) {
        send(it, all, "GET", "late" + std::to_string(n), short_deadline);
        send(it, all, "POST", "p-late" + std::to_string(n), short_deadline);
    }
    all.wait_for(gets + posts + 2 * late);

    std::size_t succeeded = 0;
    std::size_t unknown = 0;
    for (const auto& [path, result] : all.by_path) {
        INFO(path << " " << result.answer.body);
        REQUIRE(result.transport == http::transport_result::complete);
        const auto& answer = result.answer;
        CHECK(http::find_header(answer.headers, "X-Request-Id") ==
              "same for all");
        const auto target = "/plugs/" + path;
        const int runs = it.runs.count(target);
        CHECK_FALSE((is_late(path) && answer.status == 200));
        if (answer.status == 200) {
            ++succeeded;
            CHECK(answer.body == raw_upstream::body_of(target));
            CHECK(runs >= 1);
        } else if (answer.body.find("\"not_run\":true") != std::string::npos) {
            CHECK(runs == 0);
        }
        if (path.front() == 'p') {
            CHECK(runs <= 1);
            const auto code =
                http::find_header(answer.headers, "X-Rosemarytrail-Code");
            unknown += code == "309" ? 1 : 0;
        }
    }
    CHECK(succeeded > gets / 2);
    CHECK(unknown > 0);
    const auto requests = it.count("rosemarytrail_requests_total");
    const auto attempts = it.count("rosemarytrail_request_attempts_total");
    CHECK(attempts <= requests + requests / 10 + 10);
    wait_until_idle(it);
}

TEST_CASE("A repeated POST gets the first response", "[proxy]")
{
    proxy_fixture it{2, always(wire_fault::none), late_by};
    const auto first =
        it.caller->fetch_and_wait(it.make("POST", "b", long_deadline));
    const auto second =
        it.caller->fetch_and_wait(it.make("POST", "b", long_deadline));
    CHECK(first.answer.status == 200);
    CHECK(second.answer.body == first.answer.body);
    CHECK(http::find_header(second.answer.headers, "X-Kept-Answer"));
    CHECK(it.runs.count("/plugs/b") == 1);
}

TEST_CASE("Refusals carry their result code", "[proxy]")
{
    proxy_fixture it{1, always(wire_fault::refused), late_by};
    const auto code_of = [&](const http::client_request& outgoing) {
        const auto result = it.caller->fetch_and_wait(outgoing);
        return std::string{
            http::find_header(result.answer.headers, "X-Rosemarytrail-Code")
                .value_or("none")};
    };
    auto request = it.make("GET", "x", long_deadline);
    CHECK(code_of(request) == "305");
    request.headers.erase(request.headers.begin());
    CHECK(code_of(request) == "200");
    request.headers.push_back({"Authorization", "Bearer k.wrong"});
    CHECK(code_of(request) == "201");
    request = it.make("POST", "x", long_deadline);
    request.headers.pop_back();
    CHECK(code_of(request) == "313");
    request = it.make("GET", "x", long_deadline);
    request.url.replace(request.url.find("plugs"), 5, "plugz");
    CHECK(code_of(request) == "300");
    request = it.make("GET", "x", std::chrono::milliseconds{0});
    CHECK(code_of(request) == "304");
    CHECK(it.runs.empty());
}

TEST_CASE("Draining completes requests in flight and refuses new ones",
          "[proxy]")
{
    constexpr std::size_t n = 12;
    proxy_fixture it{2, always(wire_fault::late), late_by};
    answers all;
    for (std::size_t i = 0; i < n; ++i) {
        send(it, all, "GET", "d" + std::to_string(i), long_deadline);
    }
    while (it.count("rosemarytrail_request_attempts_total") < n) {
        std::this_thread::yield();
    }
    it.proxy.begin_drain();
    const auto refused =
        it.caller->fetch_and_wait(it.make("GET", "e", long_deadline));
    CHECK(http::find_header(refused.answer.headers, "X-Rosemarytrail-Code") ==
          "209");
    all.wait_for(n);
    for (const auto& [path, result] : all.by_path) {
        CHECK(result.answer.status == 200);
        CHECK(result.answer.body == raw_upstream::body_of("/plugs/" + path));
    }
    wait_until_idle(it);
}

} // namespace rosemarytrail::test
