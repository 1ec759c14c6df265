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
    /** @brief Offset of the batch. */
    std::uint64_t offset{};
};

/** @brief Tracks the newest batch of each writer to detect duplicates. */
class writer_table
{
public:
    /** @brief Maximum tracked writers; the least recent is evicted first. */
    static constexpr std::size_t max_writers = 4096;

    /**
     * @brief Accepts a batch unless it is a duplicate.
     * @param writer Writer of the batch.
     * @param sequence Sequence number of the batch.
     * @param offset Offset of the batch.
     * @return False if a batch with this or a higher number was accepted
     * before.
     */
    [[nodiscard]] bool accept(const incarnation_id& writer,
                              std::uint64_t sequence, std::uint64_t offset);

    /** @return Sequence number of the newest batch; zero if none is known. */
    [[nodiscard]] std::uint64_t
    last_sequence(const incarnation_id& writer) const;

    /** @return All tracked writers. */
    [[nodiscard]] const std::map<incarnation_id, writer_state>&
    all() const noexcept;

    /** @brief Sets the newest batch of a writer; used to load a snapshot. */
    void set(const incarnation_id& writer, const writer_state& value);

private:
    std::map<incarnation_id, writer_state> writers_;
    /** @brief Writers by the offset of their newest batch. */
    std::map<std::uint64_t, incarnation_id> by_offset_;
};

} // namespace rosemarytrail::state::internal

#endif
