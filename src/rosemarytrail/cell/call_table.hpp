#ifndef ROSEMARYTRAIL_CELL_CALL_TABLE_HPP
#define ROSEMARYTRAIL_CELL_CALL_TABLE_HPP

#include <rosemarytrail/cell/call_status.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

namespace rosemarytrail::cell {

/** @brief Limits of a call table. */
struct call_table_options
{
    /** @brief How long the response to a call can be queried; the origin
     * queries several times a second. */
    duration retention{std::chrono::seconds{5}};
    /** @brief Maximum number of calls in the table. */
    std::size_t max_calls{4096};
};

/**
 * @brief Calls that other nodes forwarded to this node, by their numbers.
 *
 * Lets the origin of a call that has got no response distinguish a peer that is
 * still serving it from one that never received it.
 */
class call_table
{
public:
    /** @param options Limits. */
    explicit call_table(const call_table_options& options);

    /**
     * @brief Adds a call that is about to be served.
     * @param call Number of the call.
     * @param now Current time.
     * @return False if the call must not be served: the origin was told that it
     * is unknown, or the table is full of calls in progress.
     */
    [[nodiscard]] bool begin(const call_number& call, time_point now);

    /**
     * @brief Records the response to a call.
     * @param call Number of the call.
     * @param answer Response.
     * @param now Current time.
     */
    void finish(const call_number& call, const client_answer& answer,
                time_point now);

    /**
     * @brief Reports the status of a call. An unknown call is not served if it
     * arrives later, since its origin then tries another peer.
     * @param call Number of the call.
     * @param now Current time.
     * @return Status.
     */
    [[nodiscard]] call_report query(const call_number& call, time_point now);

    /** @return Number of calls in the table. */
    [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

private:
    /** @brief Drops ended calls that are too old or too many.
     * @return True if there is space for another call. */
    [[nodiscard]] bool make_space(time_point now);

    call_table_options options_;
    std::map<call_number, call_report> calls_;
    /** @brief Calls that are not in progress, the oldest first. */
    std::deque<std::pair<time_point, call_number>> ended_;
};

} // namespace rosemarytrail::cell

#endif
