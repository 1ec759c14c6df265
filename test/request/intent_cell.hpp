#ifndef ROSEMARYTRAIL_TEST_REQUEST_INTENT_CELL_HPP
#define ROSEMARYTRAIL_TEST_REQUEST_INTENT_CELL_HPP

#include "fake_log.hpp"

#include <rosemarytrail/request/intent_log.hpp>

#include <test/lib/manual_time_source.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace rosemarytrail::test {

inline constexpr duration step{std::chrono::milliseconds{10}};
inline constexpr duration call_timeout{std::chrono::milliseconds{1500}};

/** @brief One entry VM with its intent store. */
struct entry_vm
{
    entry_vm(fake_stream& stream, const time_source& clock,
             const std::string& name, request::intent_log::liveness query)
        : log{stream}
        , store{std::make_unique<request::intent_log>(
              request::intent_log_options{
                  .appends = {.writer = incarnation_id{name}}},
              log, clock, std::move(query))}
    {}

    fake_log log;
    std::unique_ptr<request::intent_log> store;
    bool alive{true};
};

/** @brief Two entry VMs that share one log, simulated in steps of 10 ms. */
struct intent_cell
{
    intent_cell() { run(10); }

    entry_vm& at(const std::string& name) { return name == "a" ? a : b; }

    bool is_alive(const incarnation_id& it) { return at(it.str()).alive; }

    /**
     * @brief Opens an intent; the returned value is set once the outcome is
     * known.
     */
    std::shared_ptr<std::optional<request::intent_outcome>>
    open(entry_vm& vm, const request::intent_key& key) const
    {
        auto outcome =
            std::make_shared<std::optional<request::intent_outcome>>();
        vm.store->open(key, clock.now() + call_timeout, [outcome](auto it) {
            REQUIRE_FALSE(outcome->has_value());
            *outcome = std::move(it);
        });
        return outcome;
    }

    void run(int steps)
    {
        for (int n = 0; n < steps; ++n) {
            clock.advance(step);
            for (auto* vm : {&a, &b}) {
                vm->log.pump();
                if (!vm->log.paused) {
                    vm->store->tick(clock.now());
                }
            }
        }
    }

    fake_stream stream;
    manual_time_source clock;
    entry_vm a{stream, clock, "a", [this](const auto& it) {
                   return is_alive(it);
               }};
    entry_vm b{stream, clock, "b", [this](const auto& it) {
                   return is_alive(it);
               }};
};

inline request::intent_key make_intent_key(const std::string& key,
                                           std::uint64_t fingerprint = 1)
{
    return {.team = team_id{"t"},
            .service = service_id{"plugs"},
            .key = key,
            .fingerprint = fingerprint};
}

} // namespace rosemarytrail::test

#endif
