#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "intent_cell.hpp"

#include <array>
#include <map>
#include <vector>

namespace rosemarytrail::test {

using request::intent_status;

namespace {

/** @brief One attempt to open an intent, and its outcome. */
struct open_attempt
{
    request::intent_key key;
    entry_vm* vm{};
    std::shared_ptr<std::optional<request::intent_outcome>> outcome;
    bool ended{false};
};

struct history
{
    intent_cell cell;
    std::vector<open_attempt> open_attempts;
    std::map<std::string, int> runs;

    /**
     * @brief Runs every request that may run, and closes it as selected by
     * `draw`.
     */
    void dispatch(int draw)
    {
        for (auto& it : open_attempts) {
            const bool may_run = it.outcome->has_value() &&
                                 (*it.outcome)->status == intent_status::run;
            if (it.ended || !may_run || it.vm->log.paused || draw == 0) {
                continue;
            }
            it.ended = true;
            const bool ran = draw != 1;
            runs[it.key.key] += ran ? 1 : 0;
            it.vm->store->close(it.key, ran,
                                {.status = draw == 2 ? 0 : 200, .body = "x"});
        }
    }

    void apply_action(int action, int draw)
    {
        auto& vm = draw % 2 == 0 ? cell.a : cell.b;
        const auto key = make_intent_key("k" + std::to_string(draw % 3));
        switch (action) {
        case 0:
        case 1:
        case 2:
            if (!vm.log.paused) {
                open_attempts.push_back({key, &vm, cell.open(vm, key)});
            }
            break;
        case 3:
            vm.log.down = !vm.log.down;
            break;
        case 4:
            vm.log.lose_acknowledgements = !vm.log.lose_acknowledgements;
            break;
        case 5:
            vm.log.paused = !vm.log.paused;
            vm.alive = !vm.log.paused;
            break;
        case 6:
            vm.log.apply_unacknowledged();
            break;
        default:
            dispatch(draw % 4);
            break;
        }
        cell.run(draw);
    }
};

} // namespace

TEST_CASE("No sequence of faults runs a key twice", "[request]")
{
    CHECK(rc::check([] {
        history it;
        const auto actions =
            *rc::gen::container<std::vector<std::pair<int, int>>>(
                60, rc::gen::pair(rc::gen::inRange(0, 10),
                                  rc::gen::inRange(0, 12)));
        for (const auto& [action, draw] : actions) {
            it.apply_action(action, draw);
        }
        for (const auto& [key, n] : it.runs) {
            RC_ASSERT(n <= 1);
        }
    }));
}

} // namespace rosemarytrail::test
