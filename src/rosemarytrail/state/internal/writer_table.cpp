#include <rosemarytrail/state/internal/writer_table.hpp>

namespace rosemarytrail::state::internal {

bool writer_table::accept(const incarnation_id& writer, std::uint64_t sequence,
                          std::uint64_t offset)
{
    const auto it = writers_.find(writer);
    if (it != writers_.end()) {
        if (sequence <= it->second.sequence) {
            return false;
        }
        by_offset_.erase(it->second.offset);
    }
    set(writer, {.sequence = sequence, .offset = offset});
    if (writers_.size() > max_writers) {
        writers_.erase(by_offset_.begin()->second);
        by_offset_.erase(by_offset_.begin());
    }
    return true;
}

std::uint64_t writer_table::last_sequence(const incarnation_id& writer) const
{
    const auto it = writers_.find(writer);
    return it == writers_.end() ? 0 : it->second.sequence;
}

const std::map<incarnation_id, writer_state>& writer_table::all() const noexcept
{
    return writers_;
}

void writer_table::set(const incarnation_id& writer, const writer_state& value)
{
    writers_[writer] = value;
    by_offset_[value.offset] = writer;
}

} // namespace rosemarytrail::state::internal
