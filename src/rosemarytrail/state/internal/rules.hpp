#ifndef ROSEMARYTRAIL_STATE_INTERNAL_RULES_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_RULES_HPP

#include <rosemarytrail/state/internal/cell_data.hpp>
#include <rosemarytrail/state/record.hpp>

#include <string>

namespace rosemarytrail::state::internal {

/** @brief Writer and number of a record. */
struct record_context
{
    const incarnation_id& writer;
    record_number number{};
};

/**
 * @brief Applies a record; a void record leaves the state unchanged.
 * @param data State to modify.
 * @param value Record to apply.
 * @param context Writer and number of the record.
 * @return Result of the record; the caller sets its number.
 */
[[nodiscard]] record_result fold(cell_data& data, const member_joined& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const member_left& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data,
                                 const document_published& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data,
                                 const partition_claimed& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data,
                                 const partition_settled& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const vm_assigned& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const vm_handed_over& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data,
                                 const allowance_handed_over& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const job_accepted& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const job_handed_over& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const job_cancelled& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const tasks_finished& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const job_rejected& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const vm_declared_lost& value,
                                 const record_context& context);

/** @brief Always `ok`: the module `request` applies the intent records. */
[[nodiscard]] record_result fold(cell_data& data, const intent_opened& value,
                                 const record_context& context);
[[nodiscard]] record_result fold(cell_data& data, const intent_closed& value,
                                 const record_context& context);

/** @brief Creates the result of a void record. */
[[nodiscard]] record_result make_void(result_code code, std::string detail,
                                      record_number current = 0);

/**
 * @brief Checks that the writer holds a partition under its current epoch.
 * @return Result `ok`, or why the record is void.
 */
[[nodiscard]] record_result check_holder(const cell_data& data,
                                         partition_id partition,
                                         record_number epoch,
                                         const record_context& context);

/** @return Result `ok`, or void if the partition does not exist. */
[[nodiscard]] record_result check_partition(const cell_data& data,
                                            partition_id partition);

} // namespace rosemarytrail::state::internal

#endif
