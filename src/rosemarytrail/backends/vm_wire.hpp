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
 * @brief Encodes an entry of the VM list.
 * @param vm Entry to encode.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode_vm(const vm_entry& vm);

/**
 * @brief Decodes an entry of the VM list.
 * @param text Received JSON.
 * @return The entry, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<vm_entry> decode_vm(std::string_view text);

/**
 * @brief Encodes the VM list.
 * @param vms Entries to encode.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode_vm_list(std::span<const vm_entry> vms);

/**
 * @brief Decodes the VM list.
 * @param text Received JSON.
 * @return The entries, or nothing if any of them is malformed.
 */
[[nodiscard]] std::optional<std::vector<vm_entry>>
decode_vm_list(std::string_view text);

} // namespace rosemarytrail::backends

#endif
