#ifndef ROSEMARYTRAIL_STATE_INTERNAL_WRITER_TABLE_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_WRITER_TABLE_HPP

#include <rosemarytrail/core/id.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace rosemarytrail::state::internal {

/** @brief Newest batch of a writer. */
struct writer_state
{
    std::uint64_t sequence{};
    /** @brief Offset of that batch. */
    std::uint64_t offset{};
};

/** @brief Remembers the newest batch of each writer, to drop repeats. */
class writer_table
{
public:
    /** @brief Most writers kept; the one silent longest goes first. */
    static constexpr std::size_t capacity = 4096;

    /**
     * @brief Takes a batch unless it is a repeat.
     * @param writer Its writer.
     * @param sequence Its sequence number.
     * @param offset Its offset.
     * @return False if a batch with this or a higher number was taken.
     */
    [[nodiscard]] bool take(const incarnation_id& writer,
                            std::uint64_t sequence, std::uint64_t offset);

    /** @return Newest batch of a writer; zero if none is known. */
    [[nodiscard]] std::uint64_t
    last_sequence(const incarnation_id& writer) const;

    /** @return All writers kept. */
    [[nodiscard]] const std::map<incarnation_id, writer_state>&
    all() const noexcept;

    /** @brief Sets the newest batch of a writer, from a snapshot. */
    void set(const incarnation_id& writer, const writer_state& value);

private:
    std::map<incarnation_id, writer_state> writers_;
    /** @brief Writers by the offset of their newest batch. */
    std::map<std::uint64_t, incarnation_id> by_offset_;
};

} // namespace rosemarytrail::state::internal

#endif
