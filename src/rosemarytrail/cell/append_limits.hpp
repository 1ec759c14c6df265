#ifndef ROSEMARYTRAIL_CELL_APPEND_LIMITS_HPP
#define ROSEMARYTRAIL_CELL_APPEND_LIMITS_HPP

#include <rosemarytrail/fleet/ledger_codec.hpp>

#include <cstddef>

namespace rosemarytrail::cell {

/** @brief Sizes that the store accepts. */
struct append_limits
{
    /** @brief Maximum size of a record, in bytes. */
    std::size_t record_bytes{std::size_t{1} << 18U};
    /** @brief Maximum size of the records of an append, in bytes. A larger one
     * would also outlast the timeout of an append. */
    std::size_t append_bytes{std::size_t{1} << 19U};
};

/**
 * @brief Returns the size of an entry as a record of the store.
 * @param it Entry.
 * @return Size in bytes, with its key and the two lengths.
 */
[[nodiscard]] inline std::size_t record_size(const fleet::ledger_entry& it)
{
    constexpr std::size_t length_bytes = 5;
    return length_bytes + it.key.size() + (it.value ? it.value->size() : 0);
}

} // namespace rosemarytrail::cell

#endif
