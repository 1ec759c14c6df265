#ifndef ROSEMARYTRAIL_TEST_FAULTS_MATRIX_HPP
#define ROSEMARYTRAIL_TEST_FAULTS_MATRIX_HPP

#include "scenario.hpp"

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace rosemarytrail::test {

/** @brief Parts that the matrix is run in. */
constexpr std::size_t shards = 6;

/**
 * @brief Runs one cell of the matrix to its end.
 * @param step Row.
 * @param faults Faults that strike there.
 * @return Promises broken, one line each.
 */
[[nodiscard]] std::set<std::string>
run_cell(const fault_step& step, std::span<const fault* const> faults);

/**
 * @brief Tells whether a fault means anything at a step.
 * @param step Row.
 * @param it Column.
 * @return Letter of the reason if not: `a`, the fault changes a message and
 * the step is none; `b`, TCP does not double a request. Else empty.
 */
[[nodiscard]] std::string_view not_applicable(const fault_step& step,
                                              const fault& it);

} // namespace rosemarytrail::test

#endif
