#include <rosemarytrail/control/cell_log.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

namespace {

/** Maximum time that a long poll of the log waits for new entries. */
constexpr duration poll_wait = std::chrono::milliseconds{500};
/** Maximum payload of one read, in bytes. */
constexpr std::size_t read_bytes = std::size_t{1} << 20U;
/** Maximum payload of a snapshot read, in bytes. */
constexpr std::size_t snapshot_bytes = std::size_t{64} << 20U;
/** Initial and maximum backoff after a failed read. */
constexpr duration retry_base = std::chrono::milliseconds{100};
constexpr duration retry_cap = std::chrono::milliseconds{1000};
/** Consecutive failed reads after which the log is reported as down. */
constexpr std::uint32_t failures_until_down = 2;
/** Maximum size of the entries retained for peers, in bytes. */
constexpr std::size_t retained_limit = std::size_t{8} << 20U;

/** Exponential backoff: doubles with each consecutive failure. */
[[nodiscard]] duration retry_wait(std::uint32_t failures) noexcept
{
    constexpr std::uint32_t max_doublings = 8;
    const auto doublings = std::min(failures - 1, max_doublings);
    return std::min<duration>(retry_base * (1U << doublings), retry_cap);
}

} // namespace

cell_log::cell_log(backends::log_client& log, const time_source& clock,
                   std::string stream, cell_log_listener& listener)
    : log_{log}
    , clock_{clock}
    , stream_{std::move(stream)}
    , listener_{listener}
{}

std::string cell_log::snapshot_stream() const
{
    return stream_ + "-snapshots";
}

bool cell_log::down() const noexcept
{
    return failures_ >= failures_until_down;
}

void cell_log::tick(time_point now)
{
    if (reading_ || now < next_read_) {
        return;
    }
    reading_ = true;
    switch (stage_) {
    case stage::find_snapshot:
        find_snapshot(now);
        break;
    case stage::read_snapshot:
        read_snapshot(now);
        break;
    case stage::follow:
        follow(now);
        break;
    }
}

void cell_log::read_failed()
{
    ++failures_;
    next_read_ = clock_.now() + retry_wait(failures_);
}

void cell_log::find_snapshot(time_point)
{
    std::weak_ptr<bool> alive = alive_;
    log_.read({.stream = snapshot_stream(), .from = 0, .bytes = 1},
              [this, alive](const backends::read_outcome& outcome) {
                  if (alive.expired()) {
                      return;
                  }
                  reading_ = false;
                  if (outcome.result == backends::read_result::failed) {
                      read_failed();
                      return;
                  }
                  failures_ = 0;
                  stage_ = stage::follow;
                  if (outcome.next_offset > 0) {
                      snapshot_offset_ = outcome.next_offset - 1;
                      stage_ = stage::read_snapshot;
                  }
              });
}

void cell_log::read_snapshot(time_point)
{
    std::weak_ptr<bool> alive = alive_;
    log_.read({.stream = snapshot_stream(),
               .from = snapshot_offset_,
               .bytes = snapshot_bytes},
              [this, alive](const backends::read_outcome& outcome) {
                  if (!alive.expired()) {
                      on_snapshot(outcome);
                  }
              });
}

void cell_log::on_snapshot(const backends::read_outcome& outcome)
{
    reading_ = false;
    if (outcome.result == backends::read_result::failed) {
        read_failed();
        return;
    }
    failures_ = 0;
    stage_ = stage::follow;
    if (outcome.entries.empty()) {
        stage_ = stage::find_snapshot;
        return;
    }
    reason why;
    auto restored =
        state::cell_state::restore(outcome.entries.back().payload, why);
    const bool newer =
        restored && restored->next_offset() > state_.next_offset();
    if (!newer) {
        return;
    }
    state_ = std::move(*restored);
    last_snapshot_ = state_.next_offset();
    retained_.clear();
    retained_bytes_ = 0;
    listener_.on_restored();
}

void cell_log::follow(time_point now)
{
    std::weak_ptr<bool> alive = alive_;
    log_.read({.stream = stream_,
               .from = state_.next_offset(),
               .bytes = read_bytes,
               .wait = caught_up_ ? poll_wait : duration::zero()},
              [this, alive, now](const backends::read_outcome& outcome) {
                  if (!alive.expired()) {
                      on_entries(outcome, now);
                  }
              });
}

void cell_log::on_entries(const backends::read_outcome& outcome,
                          time_point sent_at)
{
    reading_ = false;
    if (outcome.result == backends::read_result::failed) {
        read_failed();
        return;
    }
    failures_ = 0;
    if (outcome.result == backends::read_result::trimmed) {
        stage_ = stage::find_snapshot;
        return;
    }
    for (const auto& it : outcome.entries) {
        apply_entry(it.offset, it.payload);
    }
    if (state_.next_offset() >= outcome.next_offset) {
        caught_up_ = true;
        listener_.on_tail(sent_at, outcome.next_offset);
    }
}

void cell_log::apply_entry(std::uint64_t offset, const std::string& payload)
{
    if (offset != state_.next_offset()) {
        return;
    }
    applied_entry entry{.offset = offset};
    std::uint64_t unknown = 0;
    reason why;
    if (auto decoded = state::decode(payload, unknown, why)) {
        entry.records = std::move(*decoded);
    }
    entry.results = state_.apply(offset, payload);
    retain(offset, payload);
    listener_.on_applied(entry);
}

void cell_log::retain(std::uint64_t offset, const std::string& payload)
{
    retained_bytes_ += payload.size();
    retained_.push_back({.offset = offset, .payload = payload});
    while (retained_bytes_ > retained_limit) {
        retained_bytes_ -= retained_.front().payload.size();
        retained_.pop_front();
    }
}

void cell_log::apply_relayed(std::span<const backends::log_entry> entries)
{
    for (const auto& it : entries) {
        apply_entry(it.offset, it.payload);
    }
}

std::vector<backends::log_entry> cell_log::relay(std::uint64_t from,
                                                 std::size_t bytes) const
{
    std::vector<backends::log_entry> out;
    if (retained_.empty() || from < retained_.front().offset) {
        return out;
    }
    for (auto n = from - retained_.front().offset; n < retained_.size(); ++n) {
        const auto& it = retained_[n];
        if (!out.empty() && it.payload.size() > bytes) {
            break;
        }
        bytes -= std::min(bytes, it.payload.size());
        out.push_back(it);
    }
    return out;
}

void cell_log::maybe_snapshot(const snapshot_options& when, time_point now)
{
    const auto next = state_.next_offset();
    if (!caught_up_ || snapshot_in_flight_ || next == last_snapshot_) {
        snapshot_since_ =
            next == last_snapshot_ ? std::nullopt : snapshot_since_;
        return;
    }
    snapshot_since_ = snapshot_since_.value_or(now);
    const bool due = next >= last_snapshot_ + when.entries ||
                     now - *snapshot_since_ >= when.period;
    if (due && now >= next_snapshot_) {
        write_snapshot(next);
    }
}

void cell_log::write_snapshot(std::uint64_t next)
{
    snapshot_in_flight_ = true;
    std::weak_ptr<bool> alive = alive_;
    log_.append(snapshot_stream(), state_.snapshot(),
                [this, alive, next](const backends::append_outcome& outcome) {
                    if (!alive.expired()) {
                        on_snapshot_written(outcome, next);
                    }
                });
}

void cell_log::on_snapshot_written(const backends::append_outcome& outcome,
                                   std::uint64_t next)
{
    snapshot_in_flight_ = false;
    if (outcome.result == backends::append_result::appended) {
        last_snapshot_ = next;
        snapshot_failures_ = 0;
        snapshot_since_.reset();
        return;
    }
    ++snapshot_failures_;
    next_snapshot_ = clock_.now() + retry_wait(snapshot_failures_);
}

} // namespace rosemarytrail::control
