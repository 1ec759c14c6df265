#include <rosemarytrail/state/append_queue.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::state {

namespace {

constexpr double microseconds_per_second = 1e6;

duration min_interval(double appends_per_second) noexcept
{
    return duration{static_cast<duration::rep>(microseconds_per_second /
                                               appends_per_second)};
}

} // namespace

append_queue::append_queue(append_queue_options options)
    : options_{std::move(options)}
    , retry_delay_{options_.retry_base}
{}

std::optional<std::uint64_t> append_queue::push(record value, reason& why)
{
    if (waiting_ >= options_.max_queued_records) {
        why = {.code = result_code::queue_full,
               .detail =
                   std::to_string(waiting_) + " records are queued, the limit"};
        return std::nullopt;
    }
    const std::size_t bytes = encoded_size(value);
    if (!fits_last_batch(bytes)) {
        open_.push_back({.value = {.writer = options_.writer,
                                   .sequence = next_sequence_++}});
    }
    open_batch& last = open_.back();
    last.value.records.push_back(std::move(value));
    last.bytes += bytes;
    ++waiting_;
    return last.value.sequence;
}

std::optional<pending_append> append_queue::next(time_point now)
{
    if (now < not_before_ || (sent_ && sent_->in_flight)) {
        return std::nullopt;
    }
    if (!sent_) {
        if (open_.empty()) {
            return std::nullopt;
        }
        send_front();
    }
    sent_->in_flight = true;
    not_before_ = now + min_interval(options_.appends_per_second);
    return sent_->entry;
}

void append_queue::appended(time_point /*now*/)
{
    if (!sent_) {
        return;
    }
    waiting_ -= sent_->records;
    sent_.reset();
    retry_delay_ = options_.retry_base;
}

void append_queue::failed(std::optional<duration> retry_after, time_point now)
{
    if (!sent_) {
        return;
    }
    sent_->in_flight = false;
    sent_->maybe_in_log = true;
    retry_later(retry_after, now);
}

void append_queue::rejected(std::optional<duration> retry_after, time_point now)
{
    if (!sent_) {
        return;
    }
    sent_->in_flight = false;
    retry_later(retry_after, now);
    if (!sent_->maybe_in_log) {
        open_.push_front(std::move(sent_->source));
        sent_.reset();
    }
}

void append_queue::retry_later(std::optional<duration> retry_after,
                               time_point now)
{
    const duration delay =
        std::max(retry_delay_, retry_after.value_or(duration::zero()));
    not_before_ = std::max(not_before_, now + delay);
    retry_delay_ = std::min(retry_delay_ * 2, options_.retry_cap);
}

bool append_queue::drop(std::uint64_t sequence)
{
    return drop(sequence, [](const record& /*value*/) { return true; });
}

bool append_queue::drop(std::uint64_t sequence,
                        const std::function<bool(const record&)>& predicate)
{
    const auto it = std::find_if(open_.begin(), open_.end(),
                                 [sequence](const open_batch& batch) {
                                     return batch.value.sequence == sequence;
                                 });
    if (it == open_.end()) {
        return false;
    }
    const std::size_t dropped = std::erase_if(it->value.records, predicate);
    waiting_ -= dropped;
    if (it->value.records.empty()) {
        open_.erase(it);
    }
    return dropped > 0;
}

std::size_t append_queue::waiting() const noexcept
{
    return waiting_;
}

bool append_queue::fits_last_batch(std::size_t bytes) const noexcept
{
    return !open_.empty() &&
           open_.back().value.records.size() < records_per_batch &&
           open_.back().bytes + bytes <= options_.batch_bytes;
}

void append_queue::send_front()
{
    open_batch front = std::move(open_.front());
    open_.pop_front();
    const auto records = front.value.records.size();
    pending_append entry{.sequence = front.value.sequence,
                         .payload = encode(front.value)};
    sent_ = sent_batch{.entry = std::move(entry),
                       .records = records,
                       .source = std::move(front)};
}

} // namespace rosemarytrail::state
