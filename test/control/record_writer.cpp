#include <rosemarytrail/control/record_writer.hpp>

#include <catch2/catch.hpp>

#include <test/lib/event_queue.hpp>

#include <chrono>
#include <functional>
#include <string>

using namespace std::chrono_literals;
namespace control = rosemarytrail::control;
namespace backends = rosemarytrail::backends;
namespace state = rosemarytrail::state;
namespace test = rosemarytrail::test;

namespace {

/** Log that rejects every append. */
class refusing_log final : public backends::log_client
{
public:
    void append(std::string, std::string,
                std::function<void(backends::append_outcome)> done) override
    {
        done({.result = backends::append_result::refused});
    }

    void read(backends::read_options,
              std::function<void(backends::read_outcome)> done) override
    {
        done({});
    }
};

} // namespace

TEST_CASE("A writer that dropped all its records is not reported as failing",
          "[control]")
{
    refusing_log log;
    test::event_queue time;
    control::record_writer it{
        {.writer = rosemarytrail::incarnation_id{"w"}}, log, time, "cell"};
    rosemarytrail::reason why;
    bool dropped = false;
    REQUIRE(it.push(
        state::job_cancelled{.job = rosemarytrail::job_id{"j"}},
        [&](const control::write_outcome& out) { dropped = !out.result; },
        why));
    for (int n = 0; n < 100; ++n) {
        time.run_until(time.now() + 20ms);
        it.tick(time.now());
    }
    REQUIRE(it.failures() >= 2);
    it.drop_unsent();
    CHECK(dropped);
    CHECK(it.failures() == 0);
}
