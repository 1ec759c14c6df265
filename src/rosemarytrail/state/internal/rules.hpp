#ifndef ROSEMARYTRAIL_STATE_INTERNAL_RULES_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_RULES_HPP

#include <rosemarytrail/state/internal/cell_data.hpp>
#include <rosemarytrail/state/record.hpp>

#include <string>

namespace rosemarytrail::state::internal {

/** @brief Where a record stands. */
struct record_context
{
    const incarnation_id& writer;
    record_number number{};
};

/**
 * @brief Applies one record, or finds it void and changes nothing.
 * @param data State to change.
 * @param value Record.
 * @param context Its writer and number.
 * @return What became of it; the caller fills in the number.
 */
[[nodiscard]] record_verdict fold(cell_data& data, const member_joined& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const member_left& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data,
                                  const document_published& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data,
                                  const partition_claimed& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data,
                                  const partition_settled& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const vm_assigned& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const vm_handed_over& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data,
                                  const allowance_handed_over& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const job_accepted& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const job_handed_over& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const job_cancelled& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const tasks_finished& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const job_rejected& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data,
                                  const vm_declared_lost& value,
                                  const record_context& context);

/** @brief Intents are folded by the module `request`. */
[[nodiscard]] record_verdict fold(cell_data& data, const intent_opened& value,
                                  const record_context& context);
[[nodiscard]] record_verdict fold(cell_data& data, const intent_closed& value,
                                  const record_context& context);

/** @brief Verdict on a record that is void. */
[[nodiscard]] record_verdict make_void(result_code code, std::string detail,
                                       record_number current = 0);

/**
 * @brief Checks that the writer holds a partition under its current epoch.
 * @return Verdict `ok`, or why the record is void.
 */
[[nodiscard]] record_verdict check_holder(const cell_data& data,
                                          partition_id partition,
                                          record_number epoch,
                                          const record_context& context);

/** @return Verdict `ok`, or void if there is no such partition. */
[[nodiscard]] record_verdict check_partition(const cell_data& data,
                                             partition_id partition);

} // namespace rosemarytrail::state::internal

#endif
