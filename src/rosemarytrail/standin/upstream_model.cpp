#include <rosemarytrail/standin/upstream_model.hpp>

#include <algorithm>

namespace rosemarytrail::standin {

std::uint64_t run_counter::add(const std::string& key)
{
    const auto n = key.empty() ? 1 : ++runs_[key];
    most_ = std::max(most_, n);
    return n;
}

std::uint64_t run_counter::runs(const std::string& key) const
{
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
}

upstream_model::upstream_model(const upstream_options& options,
                               run_counter& counter,
                               const upstream_faults& faults)
    : options_{options}
    , faults_{faults}
    , chance_{faults.seed}
    , counter_{counter}
{}

void upstream_model::set_faults(const upstream_faults& faults)
{
    if (faults.seed != faults_.seed) {
        chance_ = chance{faults.seed};
    }
    faults_ = faults;
}

bool upstream_model::refuses(const upstream_request& incoming)
{
    const auto found = write_offsets_.find(incoming.service);
    const auto reached = found == write_offsets_.end() ? 0 : found->second;
    return faults_.leaving || busy_ >= options_.slots ||
           incoming.read_offset > reached || chance_.hit(faults_.refuse);
}

upstream_action upstream_model::choose_action()
{
    if (chance_.hit(faults_.fail)) {
        return upstream_action::fail;
    }
    if (chance_.hit(faults_.cut_off)) {
        return upstream_action::cut_off;
    }
    return chance_.hit(faults_.doubled) ? upstream_action::answer_twice
                                        : upstream_action::answer;
}

upstream_reply upstream_model::begin(const upstream_request& incoming)
{
    upstream_reply result{.request_id = incoming.request_id};
    if (faults_.mode == fault_mode::down) {
        result.action = upstream_action::drop;
        return result;
    }
    if (refuses(incoming)) {
        result.action = upstream_action::refuse;
        return result;
    }
    ++busy_;
    result.run = counter_.add(incoming.idempotency_key);
    auto& offset = write_offsets_[incoming.service];
    offset += incoming.writes ? 1 : 0;
    result.write_offset = offset;
    result.action = choose_action();
    result.delay = faults_.service;
    if (faults_.mode == fault_mode::slow) {
        result.delay += faults_.slow;
    }
    if (chance_.hit(faults_.late)) {
        result.delay += faults_.late_by;
    }
    if (chance_.hit(faults_.crossed)) {
        result.request_id = last_id_.empty() ? "crossed" : last_id_;
    }
    last_id_ = incoming.request_id;
    return result;
}

void upstream_model::end() noexcept
{
    busy_ -= busy_ > 0 ? 1 : 0;
}

} // namespace rosemarytrail::standin
