#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <rosemarytrail/standin/worker_model.hpp>

#include <set>

using namespace rosemarytrail;          // NOLINT
using namespace rosemarytrail::standin; // NOLINT
using backends::command_kind;
using backends::task_phase;
using backends::worker_command;
using backends::worker_outcome;

namespace {

constexpr time_point start{std::chrono::seconds{100}};
constexpr resources room{4000, 4096, 1};
constexpr resources half{2000, 2048, 0};

[[nodiscard]] time_point at(std::int64_t ms)
{
    return start + std::chrono::milliseconds{ms};
}

/** @brief Holder that always has the newest token. */
struct holder
{
    worker_model& worker;
    record_number epoch{10};
    std::uint64_t token{};
    duration lease{std::chrono::milliseconds{1000}};

    [[nodiscard]] worker_outcome send(std::vector<worker_command> commands,
                                      time_point now, bool renew = false)
    {
        auto result = worker.apply({.epoch = epoch,
                                    .token = token,
                                    .lease = lease,
                                    .renew = renew,
                                    .commands = std::move(commands)},
                                   now);
        token = result.token;
        return result;
    }
};

[[nodiscard]] worker_command command(command_kind kind, std::uint32_t index,
                                     std::uint32_t attempt = 1)
{
    return {.kind = kind,
            .task = {job_id{"j"}, index},
            .attempt = attempt,
            .request = half,
            .run_time = std::chrono::milliseconds{500}};
}

} // namespace

TEST_CASE("A worker refuses a lower epoch and does nothing", "[standin]")
{
    worker_model worker{{.capacity = room}};
    holder former{worker};
    (void)former.send({}, at(0));
    holder present{worker, 20};
    (void)present.send({}, at(1));
    const auto refused =
        former.send({command(command_kind::start, 0)}, at(2), true);
    CHECK(refused.code == result_code::worker_epoch_refused);
    CHECK(refused.epoch == 20);
    CHECK(refused.token == 0);
    CHECK(worker.committed().is_zero());
    // Nor does the former holder's token serve under the new epoch.
    holder thief{worker, 20, 1};
    CHECK(thief.send({}, at(3)).code == result_code::worker_token_refused);
}

TEST_CASE("A command written before a pause does nothing after it", "[standin]")
{
    worker_model worker{
        {.capacity = room, .token_span = std::chrono::milliseconds{200}}};
    holder it{worker};
    (void)it.send({}, at(0));
    const auto written_early = it;
    CHECK(it.send({}, at(199)).code == result_code::ok);
    auto paused = written_early;
    const auto late = paused.send({command(command_kind::start, 0)}, at(200));
    CHECK(late.code == result_code::worker_token_refused);
    CHECK(worker.committed().is_zero());
    // Without a token, a batch gives no command and renews nothing.
    holder fencing{worker, 10, 0};
    const auto inventory =
        fencing.send({command(command_kind::start, 0)}, at(201), true);
    CHECK(inventory.code == result_code::ok);
    CHECK(inventory.commands.empty());
    CHECK(worker.committed().is_zero());
}

TEST_CASE("A start is idempotent by task and attempt", "[standin]")
{
    worker_model worker{{.capacity = room}};
    holder it{worker};
    (void)it.send({}, at(0));
    const auto twice = it.send({command(command_kind::start, 0),
                                command(command_kind::start, 0),
                                command(command_kind::start, 0, 2)},
                               at(1));
    CHECK(twice.commands.at(1).code == result_code::ok);
    CHECK(twice.commands.at(2).code == result_code::worker_attempt_refused);
    CHECK(worker.committed() == half);
    const auto full = it.send(
        {command(command_kind::start, 1), command(command_kind::start, 2)},
        at(2));
    CHECK(full.commands.at(0).code == result_code::ok);
    CHECK(full.commands.at(1).code == result_code::worker_full);
    CHECK(worker.committed() == half * 2);
}

TEST_CASE("An attempt that is over stays over for late commands", "[standin]")
{
    worker_model worker{{.capacity = room}};
    holder it{worker};
    (void)it.send({}, at(0));
    (void)it.send({command(command_kind::start, 0)}, at(1));
    (void)it.send({command(command_kind::stop, 0),
                   command(command_kind::acknowledge, 0),
                   command(command_kind::stop, 1)},
                  at(2));
    const auto late = it.send(
        {command(command_kind::start, 0), command(command_kind::start, 1)},
        at(3));
    CHECK(late.commands.at(0).code == result_code::worker_attempt_refused);
    CHECK(late.commands.at(1).code == result_code::worker_attempt_refused);
    const auto next = it.send({command(command_kind::start, 0, 2)}, at(4));
    CHECK(next.commands.at(0).code == result_code::ok);
}

TEST_CASE("A lease that nobody renews lapses on the worker's own clock",
          "[standin]")
{
    worker_model worker{{.capacity = room}};
    holder it{worker};
    (void)it.send({}, at(0));
    auto service = command(command_kind::start, 0);
    service.run_time = {};
    service.service = service_id{"plugs"};
    (void)it.send({service}, at(0));
    (void)it.send({}, at(900), true);
    worker.advance(at(1899));
    CHECK(worker.serves(service_id{"plugs"}));
    worker.advance(at(1900));
    CHECK_FALSE(worker.serves(service_id{"plugs"}));
    CHECK(worker.committed().is_zero());
    it.token = 0;
    const auto inventory = it.send({}, at(9000));
    REQUIRE(inventory.tasks.size() == 1);
    CHECK(inventory.tasks[0].phase == task_phase::lapsed);
    CHECK(inventory.tasks[0].age == std::chrono::milliseconds{1900});
}

TEST_CASE("A worker keeps an outcome until it is acknowledged", "[standin]")
{
    worker_model worker{{.capacity = room}, {.slow_factor = 2.0}};
    holder it{worker};
    (void)it.send({}, at(0));
    (void)it.send({command(command_kind::start, 0)}, at(0));
    worker.set_faults({.fail_tasks = 1.0});
    (void)it.send({command(command_kind::start, 1)}, at(0));
    const auto later =
        it.send({command(command_kind::acknowledge, 0)}, at(999));
    CHECK(later.commands.at(0).code == result_code::worker_attempt_refused);
    REQUIRE(later.tasks.size() == 2);
    CHECK(later.tasks[0].phase == task_phase::running);
    CHECK(later.tasks[1].phase == task_phase::failed);
    const auto ended = it.send({}, at(1000));
    CHECK(ended.tasks.at(0).phase == task_phase::succeeded);
    const auto acknowledged = it.send({command(command_kind::acknowledge, 0),
                                       command(command_kind::acknowledge, 1)},
                                      at(1001));
    CHECK(acknowledged.tasks.empty());
}

TEST_CASE("Usage lags, and a throttle limits it", "[standin]")
{
    worker_model worker{{.capacity = room}};
    holder it{worker, 10, 0, std::chrono::seconds{100}};
    (void)it.send({}, at(0));
    auto task = command(command_kind::start, 0);
    task.run_time = {};
    (void)it.send({task}, at(0));
    CHECK(it.send({}, at(999)).tasks.at(0).used.is_zero());
    auto limit = command(command_kind::throttle, 0);
    limit.request = {100, 0, 0};
    const auto before = it.send({limit}, at(1000)).tasks.at(0).used;
    CHECK(before.millicores >= half.millicores / 4);
    CHECK(it.send({}, at(2000)).tasks.at(0).used.millicores == 100);
    CHECK(worker.committed() == half);
}

TEST_CASE("A worker is never committed beyond its capacity and never runs a "
          "task twice",
          "[standin]")
{
    rc::check([] {
        worker_model worker{{.capacity = room}, {.fail_tasks = 0.1}};
        std::vector<holder> holders{{worker, 10}, {worker, 20}};
        std::int64_t now_ms = 0;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            now_ms += *rc::gen::inRange(0, 400);
            auto& by = holders[*rc::gen::inRange<std::size_t>(0, 2)];
            std::vector<worker_command> commands(
                *rc::gen::inRange<std::size_t>(0, 4));
            for (auto& it : commands) {
                it = command(static_cast<command_kind>(*rc::gen::inRange(0, 5)),
                             *rc::gen::inRange(0U, 4U),
                             *rc::gen::inRange(1U, 3U));
                it.request.millicores = *rc::gen::inRange(0, 5000);
                it.run_time =
                    std::chrono::milliseconds{*rc::gen::inRange(0, 900)};
            }
            const auto outcome = by.send(std::move(commands), at(now_ms),
                                         *rc::gen::arbitrary<bool>());
            RC_ASSERT(worker.committed().fits_in(room));
            RC_ASSERT(worker.committed().is_valid());
            resources running;
            std::set<task_ref> tasks;
            for (const auto& it : outcome.tasks) {
                if (it.phase == task_phase::running) {
                    running += it.request;
                    RC_ASSERT(tasks.insert(it.task).second);
                }
            }
            RC_ASSERT(outcome.code != result_code::ok ||
                      running == worker.committed());
        }
    });
}
