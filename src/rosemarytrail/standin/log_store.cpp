#include <rosemarytrail/standin/log_store.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::standin {

namespace {

using backends::append_result;
using backends::read_result;

constexpr double microseconds_per_second = 1e6;

} // namespace

log_store::log_store(const log_faults& faults)
    : faults_{faults}
    , chance_{faults.seed}
    , permits_{std::max(faults.appends_per_second, 1.0)}
{}

void log_store::set_faults(const log_faults& faults)
{
    if (faults.seed != faults_.seed) {
        chance_ = chance{faults.seed};
    }
    faults_ = faults;
    for (auto& [name, stream] : streams_) {
        trim(stream);
    }
}

bool log_store::take_permit(time_point now)
{
    const double rate = faults_.appends_per_second;
    const double span = static_cast<double>((now - refilled_).count());
    const double fresh = std::max(span, 0.0) * rate / microseconds_per_second;
    permits_ = std::min(permits_ + fresh, std::max(rate, 1.0));
    refilled_ = std::max(refilled_, now);
    if (permits_ < 1.0) {
        return false;
    }
    permits_ -= 1.0;
    return true;
}

append_answer log_store::append(const std::string& stream, std::string payload,
                                time_point now)
{
    if (faults_.mode == fault_mode::down) {
        return {.outcome = {.result = append_result::refused}};
    }
    if (!take_permit(now)) {
        const double seconds = 1.0 / std::max(faults_.appends_per_second, 1e-3);
        const duration wait{
            static_cast<std::int64_t>(seconds * microseconds_per_second)};
        return {
            .outcome = {.result = append_result::refused, .retry_after = wait}};
    }
    auto& it = streams_[stream];
    const auto offset = it.first_offset + it.payloads.size();
    it.payloads.push_back(std::move(payload));
    trim(it);
    return {.outcome = {.result = append_result::appended, .offset = offset},
            .lost = chance_.hit(faults_.lose_answers)};
}

void log_store::trim(stream_state& stream) const
{
    while (stream.payloads.size() > faults_.kept_entries) {
        stream.payloads.pop_front();
        ++stream.first_offset;
    }
}

backends::read_outcome
log_store::read(const backends::read_options& options) const
{
    if (faults_.mode == fault_mode::down) {
        return {};
    }
    backends::read_outcome result{.result = read_result::read};
    const auto found = streams_.find(options.stream);
    if (found == streams_.end()) {
        return result;
    }
    const auto& stream = found->second;
    result.first_offset = stream.first_offset;
    result.next_offset = stream.first_offset + stream.payloads.size();
    if (options.from < result.first_offset) {
        result.result = read_result::trimmed;
        return result;
    }
    std::size_t bytes = 0;
    for (auto i = options.from; i < result.next_offset; ++i) {
        const auto& payload = stream.payloads[i - stream.first_offset];
        bytes += payload.size();
        if (bytes > options.bytes && !result.entries.empty()) {
            break;
        }
        result.entries.push_back({.offset = i, .payload = payload});
    }
    return result;
}

std::uint64_t log_store::next_offset(const std::string& stream) const
{
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return 0;
    }
    return found->second.first_offset + found->second.payloads.size();
}

} // namespace rosemarytrail::standin
