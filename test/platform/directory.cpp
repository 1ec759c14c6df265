#include <platform/decode.hpp>

#include <test/lib/model_cell.hpp>

#include <rosemarytrail/cell/member_name.hpp>
#include <rosemarytrail/logging/event_log.hpp>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::platform {

namespace {

using namespace std::chrono_literals;

/** @brief Maximum time to wait for a condition. */
constexpr duration timeout = 20s;

/** @brief Entry of the worker directory.
 * @param address IP address and port.
 * @param extra Further fields, each after a comma. */
[[nodiscard]] std::string entry(const std::string& address,
                                const std::string& extra = {})
{
    return R"({"service":"s","address":")" + address +
           R"(","zone":"z","state":"ready",)"
           R"("capacity":{"cpu":8000,"memMb":8000},"born":1)" +
           extra + "}";
}

/** @brief Node that reads the records of the platform's own writers. */
struct platform_node
{
    platform_node()
    {
        store.put(cell::feed::configuration, "config",
                  R"({"version":1,"routes":[{"name":"q","host":"h",)"
                  R"("pathPrefix":"/q/","service":"s","public":true,)"
                  R"("slackFactor":2.0,"targetLatencyMs":1000}],)"
                  R"("services":[{"name":"s"}]})");
        store.put(cell::feed::workers, "w1", entry("10.0.0.1:80"));
        const auto member = cell::to_text(
            {.incarnation = "n0", .address = "n0:1", .cpu_millis = 250});
        node = std::make_unique<cell::node>(
            cell::node_options{
                .name = "n0", .member = member, .cpu_millis = 250},
            loop, store, workers, peers, advice, formats, metrics);
        peers.nodes["n0:1"] = node.get();
    }

    void submit(std::uint64_t id) const
    {
        node->serve(test::submission_of(id, boot_clock::now() + timeout),
                    [](const cell::client_answer&) {});
    }

    [[nodiscard]] bool has_polled(const std::string& address) const
    {
        return std::ranges::any_of(workers.polls, [&](const auto& it) {
            return it.worker.address == address;
        });
    }

    /** @return Number of ignored entries, as the node counts them. */
    [[nodiscard]] std::string ignored() const
    {
        const std::string name =
            "\nrosemarytrail_worker_entries_ignored_total ";
        const auto text = metrics.expose();
        const auto from = text.find(name);
        REQUIRE(from != std::string::npos);
        const auto value = from + name.size();
        return text.substr(value, text.find('\n', value) - value);
    }

    test::stepped_loop loop;
    test::model_store store{loop};
    test::model_workers workers{loop};
    test::model_advice advice{loop};
    test::model_peers peers{loop};
    platform_decoder formats;
    metrics::registry metrics;
    std::unique_ptr<cell::node> node;
};

/** @brief Collects the events that are written while it lives. */
class event_file
{
public:
    event_file()
    {
        REQUIRE(file_ != nullptr);
        logging::start_events({.descriptor = ::fileno(file_.get())}, "p", "n");
    }
    event_file(const event_file&) = delete;
    event_file& operator=(const event_file&) = delete;
    ~event_file() { logging::stop_events(); }

    /** @brief Ends the collection.
     * @param name Name of an event.
     * @return Events of this name. */
    [[nodiscard]] std::vector<nlohmann::json> read(const std::string& name)
    {
        logging::stop_events();
        std::rewind(file_.get());
        std::string text;
        for (int it = 0; (it = std::fgetc(file_.get())) != EOF;) {
            text.push_back(static_cast<char>(it));
        }
        std::vector<nlohmann::json> result;
        std::istringstream lines{text};
        for (std::string line; std::getline(lines, line);) {
            if (auto found = nlohmann::json::parse(line);
                found.at("event") == name) {
                result.push_back(std::move(found));
            }
        }
        return result;
    }

private:
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_{std::tmpfile(),
                                                          &std::fclose};
};

} // namespace

TEST_CASE("Odd entries among those of the workers are not called",
          "[platform][node]")
{
    constexpr std::size_t depth = 100000;
    platform_node cell;
    const auto put_odd = [&](const std::string& prefix) {
        const auto put = [&](const std::string& key, std::string value) {
            cell.store.put(cell::feed::workers, prefix + key, std::move(value));
        };
        put("port", entry("10.0.0.2:99999"));
        put("line", entry(R"(10.0.0.3:80\r\nX: y)"));
        put("time", entry("10.0.0.4:80", R"(,"coldLeftMs":1e300)"));
        put("huge", entry("10.0.0.5:80", R"(,"remainingMs":1e999)"));
        put("room", entry("10.0.0.6:80", R"(,"capacity":{"cpu":-1})"));
        put("deep",
            entry("10.0.0.7:80", R"(,"labels":)" + std::string(depth, '[') +
                                     std::string(depth, ']')));
        put("\xff\xfe", entry("10.0.0.8:80"));
        put("bytes", "\xff\xfe");
        put("empty", "");
    };
    put_odd("before-");
    cell.node->start();
    REQUIRE(cell.loop.run_until([&] { return cell.has_polled("10.0.0.1:80"); },
                                timeout));
    CHECK(cell.ignored() == "9");
    put_odd("after-");
    // The reader has passed the odd entries once it knows the next worker.
    cell.store.put(cell::feed::workers, "w2", entry("10.0.0.9:80"));
    REQUIRE(cell.loop.run_until([&] { return cell.has_polled("10.0.0.9:80"); },
                                timeout));
    CHECK(cell.ignored() == "18");
    for (const auto& it : cell.workers.polls) {
        INFO(it.worker.address);
        CHECK((it.worker.id == "w1" || it.worker.id == "w2"));
    }
    cell.submit(1);
    CHECK(cell.loop.run_until([&] { return !cell.workers.starts.empty(); },
                              timeout));
}

TEST_CASE("An odd entry under the key of a worker takes it off the list",
          "[platform][node]")
{
    platform_node cell;
    cell.node->start();
    REQUIRE(cell.loop.run_until([&] { return cell.has_polled("10.0.0.1:80"); },
                                timeout));
    cell.store.put(cell::feed::workers, "w1", entry("10.0.0.1:99999"));
    cell.loop.run_until([] { return false; }, 300ms);
    cell.submit(1);
    cell.loop.run_until([&] { return !cell.workers.starts.empty(); }, 500ms);
    CHECK(cell.workers.starts.empty());
    CHECK(cell.ignored() == "1");
    cell.store.put(cell::feed::workers, "w1", entry("10.0.0.1:80"));
    CHECK(cell.loop.run_until([&] { return !cell.workers.starts.empty(); },
                              timeout));
}

TEST_CASE("An odd entry is logged once until the reason changes",
          "[platform][node]")
{
    constexpr std::size_t max_key_bytes = 64;
    event_file events;
    platform_node nodes;
    const std::string long_key(200, 'k');
    const auto put_and_read = [&](const std::string& value) {
        const auto before = nodes.store.reads[cell::feed::workers];
        nodes.store.put(cell::feed::workers, long_key, value);
        REQUIRE(nodes.loop.run_until(
            [&] { return nodes.store.reads[cell::feed::workers] > before + 1; },
            timeout));
    };
    nodes.node->start();
    REQUIRE(nodes.loop.run_until(
        [&] { return nodes.has_polled("10.0.0.1:80"); }, timeout));
    put_and_read(entry("10.0.0.2:0"));
    put_and_read(entry("10.0.0.2:99999"));
    put_and_read("{");
    put_and_read(entry("10.0.0.2:80"));
    put_and_read("[");
    CHECK(nodes.ignored() == "4");
    const auto found = events.read("worker_entry_ignored");
    REQUIRE(found.size() == 3);
    CHECK(found[0].at("worker") == std::string(max_key_bytes, 'k'));
    CHECK(found[0].at("reason") != found[1].at("reason"));
    CHECK(found[1].at("reason") == found[2].at("reason"));
}

} // namespace rosemarytrail::platform
