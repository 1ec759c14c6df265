#include <rosemarytrail/cell/append_parts.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarytrail::cell {

append_parts::append_parts(const append_limits& limits)
    : limits_{limits}
{}

void append_parts::assign(std::vector<fleet::ledger_entry> entries)
{
    entries_ = std::move(entries);
    begin_ = 0;
    max_entries_.reset();
    choose_part();
}

std::span<const fleet::ledger_entry> append_parts::part() const
{
    return std::span{entries_}.subspan(begin_, probing_ ? 0 : end_ - begin_);
}

bool append_parts::complete() const noexcept
{
    return begin_ == entries_.size();
}

std::vector<fleet::ledger_entry> append_parts::take()
{
    auto result = std::move(entries_);
    assign({});
    return result;
}

std::vector<fleet::ledger_entry> append_parts::on_appended()
{
    std::vector<fleet::ledger_entry> result;
    if (probing_) {
        drop_first();
    } else {
        const auto first = entries_.begin();
        std::move(first + static_cast<std::ptrdiff_t>(begin_),
                  first + static_cast<std::ptrdiff_t>(end_),
                  std::back_inserter(result));
        begin_ = end_;
        if (max_entries_) {
            *max_entries_ *= 2;
        }
    }
    choose_part();
    return result;
}

after_rejection append_parts::on_rejected()
{
    const auto n = end_ - begin_;
    if (probing_ || n == 0) {
        probing_ = false;
        return after_rejection::retry_later;
    }
    if (n == 1) {
        probing_ = true;
    } else {
        max_entries_ = n / 2;
        choose_part();
    }
    return after_rejection::append;
}

std::vector<fleet::ledger_entry> append_parts::take_dropped()
{
    return std::exchange(dropped_, {});
}

void append_parts::drop_first()
{
    dropped_.push_back(std::move(entries_[begin_]));
    ++begin_;
}

void append_parts::choose_part()
{
    probing_ = false;
    while (!complete() &&
           record_size(entries_[begin_]) > limits_.record_bytes) {
        drop_first();
    }
    end_ = begin_;
    std::size_t bytes = 0;
    while (end_ < entries_.size() &&
           (!max_entries_ || end_ - begin_ < *max_entries_)) {
        const auto size = record_size(entries_[end_]);
        bytes += size;
        const bool fits =
            bytes <= limits_.append_bytes && size <= limits_.record_bytes;
        if (end_ > begin_ && !fits) {
            break;
        }
        ++end_;
    }
}

} // namespace rosemarytrail::cell
