#include <catch2/catch.hpp>

#include <rosemarytrail/load/experiment.hpp>
#include <rosemarytrail/load/plan.hpp>
#include <rosemarytrail/load/runner.hpp>

#include <test/lib/manual_time_source.hpp>

#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::load {

namespace {

constexpr auto one_second = std::chrono::seconds{1};

/** @brief Answers at once, but for one stall of a second. */
class stalling_client final : public http::client
{
public:
    explicit stalling_client(test::manual_time_source& clock)
        : clock_{clock}
    {}

    void fetch(http::client_request outgoing, callback done) override
    {
        ++sent;
        if (sent == stalled_at) {
            // The sender itself is held up, as a closed loop would be.
            clock_.advance(one_second);
        }
        http::client_response result{.transport =
                                         http::transport_result::complete};
        result.answer.headers = outgoing.headers;
        done(std::move(result));
    }

    static constexpr int stalled_at = 100;
    int sent{};

private:
    test::manual_time_source& clock_;
};

} // namespace

TEST_CASE("A faulty experiment is refused with the field at fault", "[load]")
{
    const std::vector<std::pair<std::string, std::string>> faults{
        {R"({)", "JSON"},
        {R"({"targets":[]})", "experiment.targets"},
        {R"({"targets":[{"name":"a"}],"phases":[{}]})", "targets[0].urls"},
        {R"({"targets":[{"urls":["u"]}],"phases":[{"rate":-1}]})",
         "phases[0].rate: -1"},
        {R"({"targets":[{"urls":["u"]}],"phases":[{"pace":1}]})",
         "phases[0].pace: unknown"},
        {R"({"targets":[{"urls":["u"]}],"phases":[{}],"seed":"x"})",
         "experiment.seed"}};
    for (const auto& [text, part] : faults) {
        reason why;
        CHECK_FALSE(parse_experiment(text, why));
        INFO(why.detail);
        CHECK(why.detail.find(part) != std::string::npos);
    }
    reason why;
    const auto it = parse_experiment(
        R"({"targets":[{"urls":["u"]}],"phases":[{"seconds":2,"rate":5}]})",
        why);
    REQUIRE(it);
    CHECK(it->phases[0].span == std::chrono::seconds{2});
}

TEST_CASE("Equal seeds give equal plans at the rate asked for", "[load]")
{
    const phase it{.span = 10 * one_second, .rate = 1000, .post_fraction = 0.1};
    const auto first = plan(it, 2, 7);
    const auto second = plan(it, 2, 7);
    REQUIRE(first.size() == second.size());
    CHECK(first.size() > 19000);
    CHECK(first.size() < 21000);
    int posts = 0;
    for (std::size_t n = 0; n < first.size(); ++n) {
        CHECK(first[n].at == second[n].at);
        posts += first[n].post ? 1 : 0;
    }
    CHECK(posts > 1700);
    CHECK(posts < 2300);
}

TEST_CASE("A stall counts for each request that falls into it", "[load]")
{
    test::manual_time_source clock;
    stalling_client client{clock};
    const experiment it{.targets = {{.name = "t", .urls = {"u"}}},
                        .phases = {{.span = 2 * one_second, .rate = 1000}}};
    const auto results = run(it, {.client = client,
                                  .clock = clock,
                                  .wait_until = [&clock](time_point moment) {
                                      if (moment > clock.now()) {
                                          clock.advance(moment - clock.now());
                                      }
                                  }});
    const auto& target = results.at(0).targets.at(0);
    CHECK(target.good == target.planned);
    // About half of the requests were due within the second of the stall.
    CHECK(target.good_latency.quantile(0.9) > std::chrono::milliseconds{500});
    CHECK(target.good_latency.quantile(0.4) < std::chrono::milliseconds{1});
}

} // namespace rosemarytrail::load
