#ifndef ROSEMARYTRAIL_CELL_APPEND_PARTS_HPP
#define ROSEMARYTRAIL_CELL_APPEND_PARTS_HPP

#include <rosemarytrail/cell/append_limits.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace rosemarytrail::cell {

/** @brief What follows a rejected append. */
enum class after_rejection : std::uint8_t
{
    /** @brief The next part, which is a smaller one, is appended. */
    append,
    /** @brief The store rejects an append without entries as well, so no entry
     * is at fault. */
    retry_later
};

/**
 * @brief Splits entries into appends that the store accepts, in order.
 *
 * Handles entries that the store never accepts: a rejected part is halved until
 * one entry is left, which is dropped if the store then accepts an append
 * without entries.
 */
class append_parts
{
public:
    /** @param limits Sizes that the store accepts. */
    explicit append_parts(const append_limits& limits);

    /** @param entries Entries to append; replace all others. */
    void assign(std::vector<fleet::ledger_entry> entries);

    /** @return Entries of the current append; empty once all are appended, and
     * while it is found out whether a single entry is at fault. */
    [[nodiscard]] std::span<const fleet::ledger_entry> part() const;

    /** @return True if no part has been appended yet. */
    [[nodiscard]] bool untouched() const noexcept { return begin_ == 0; }

    /** @return True once each entry is appended or dropped. */
    [[nodiscard]] bool complete() const noexcept;

    /** @return All entries, if no part has been appended yet; none are left. */
    [[nodiscard]] std::vector<fleet::ledger_entry> take();

    /**
     * @brief Proceeds to the next part after the current one was appended.
     * @return Entries of that part.
     */
    std::vector<fleet::ledger_entry> on_appended();

    /**
     * @brief Proceeds to a smaller part after the store has rejected the
     * current one.
     * @return What follows.
     */
    [[nodiscard]] after_rejection on_rejected();

    /** @return Entries dropped since the last call. */
    [[nodiscard]] std::vector<fleet::ledger_entry> take_dropped();

private:
    void choose_part();
    void drop_first();

    append_limits limits_;
    std::vector<fleet::ledger_entry> entries_;
    /** @brief The current part is the range between these positions. */
    std::size_t begin_{};
    std::size_t end_{};
    /** @brief Maximum number of entries of a part; less after a rejection. */
    std::optional<std::size_t> max_entries_;
    /** @brief The part was rejected with a single entry and is appended without
     * it. */
    bool probing_{false};
    std::vector<fleet::ledger_entry> dropped_;
};

} // namespace rosemarytrail::cell

#endif
