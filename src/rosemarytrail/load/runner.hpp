#ifndef ROSEMARYTRAIL_LOAD_RUNNER_HPP
#define ROSEMARYTRAIL_LOAD_RUNNER_HPP

#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/load/experiment.hpp>
#include <rosemarytrail/load/result.hpp>

#include <functional>
#include <vector>

namespace rosemarytrail::load {

/** @brief What a run works with. */
struct runner_ports
{
    http::client& client;
    const time_source& clock;
    /** @brief Waits until a moment; returns at once if it has passed. */
    std::function<void(time_point)> wait_until;
};

/**
 * @brief Runs an experiment in an open loop.
 *
 * Each request is sent when its planned time has come, whatever became of
 * those before, and its latency counts from that time. So a stall is seen by
 * all requests that fall into it.
 * @param it What to do.
 * @param ports What it works with.
 * @return A result for each phase that is no warm-up.
 */
[[nodiscard]] std::vector<phase_result> run(const experiment& it,
                                            const runner_ports& ports);

/**
 * @brief Makes the wait of `runner_ports` for a clock: sleeps, then spins.
 * @param clock Clock to wait on; outlives the function.
 * @return Function that waits until a time.
 */
[[nodiscard]] std::function<void(time_point)>
make_wait(const time_source& clock);

} // namespace rosemarytrail::load

#endif
