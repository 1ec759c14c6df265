#ifndef ROSEMARYTRAIL_BACKENDS_VM_WIRE_HPP
#define ROSEMARYTRAIL_BACKENDS_VM_WIRE_HPP

#include <rosemarytrail/backends/vm_list_client.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::backends {

/**
 * @brief Writes a row of the VM list.
 * @param vm Row to write.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode_vm(const vm_entry& vm);

/**
 * @brief Reads a row of the VM list.
 * @param text What was sent.
 * @return The row, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<vm_entry> decode_vm(std::string_view text);

/**
 * @brief Writes the VM list.
 * @param vms Rows to write.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode_vm_list(std::span<const vm_entry> vms);

/**
 * @brief Reads the VM list.
 * @param text What the list answered.
 * @return Its rows, or nothing if any is malformed.
 */
[[nodiscard]] std::optional<std::vector<vm_entry>>
decode_vm_list(std::string_view text);

} // namespace rosemarytrail::backends

#endif
