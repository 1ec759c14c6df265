#include <rosemarytrail/request/intent_table.hpp>

#include <algorithm>
#include <variant>

namespace rosemarytrail::request {

namespace {

template <typename Record>
intent_name name_of(const Record& value)
{
    return {.team = value.team, .service = value.service, .key = value.key};
}

intent_phase phase_of(const state::intent_closed& value) noexcept
{
    if (value.answered) {
        return intent_phase::answered;
    }
    return value.status == 0 ? intent_phase::unknown : intent_phase::ran;
}

} // namespace

std::size_t intent_name_hash::operator()(const intent_name& name) const noexcept
{
    constexpr std::size_t multiplier = 0x9e3779b97f4a7c15ULL;
    std::size_t n = std::hash<std::string>{}(name.key);
    n = n * multiplier + std::hash<service_id>{}(name.service);
    return n * multiplier + std::hash<team_id>{}(name.team);
}

intent_table::intent_table(const intent_table_options& options)
    : options_{options}
{}

intent_batch_result intent_table::apply(std::uint64_t offset,
                                        const state::batch& value)
{
    intent_batch_result result;
    auto& last = sequences_[value.writer];
    if (value.sequence <= last) {
        result.repeated = true;
        return result;
    }
    last = value.sequence;
    std::uint64_t index = 0;
    for (const auto& it : value.records) {
        const auto number = make_record_number(offset, index++);
        if (const auto* opened = std::get_if<state::intent_opened>(&it)) {
            result.opened.push_back(
                {.name = name_of(*opened),
                 .won = open(*opened, value.writer, number)});
        } else if (const auto* closed =
                       std::get_if<state::intent_closed>(&it)) {
            close(*closed, value.writer);
            result.closed.push_back(name_of(*closed));
        }
    }
    return result;
}

const intent_state* intent_table::find(const intent_name& name) const
{
    const auto it = keys_.find(name);
    return it == keys_.end() ? nullptr : &it->second;
}

std::size_t intent_table::size() const noexcept
{
    return keys_.size();
}

bool intent_table::open(const state::intent_opened& value,
                        const incarnation_id& writer, record_number number)
{
    auto name = name_of(value);
    const auto [it, inserted] = keys_.try_emplace(name);
    if (!inserted) {
        return false;
    }
    it->second = {
        .fingerprint = value.fingerprint, .writer = writer, .number = number};
    opened_keys_.push_back({.name = std::move(name), .number = number});
    if (opened_keys_.size() > options_.max_keys) {
        evict_oldest_key();
    }
    return true;
}

void intent_table::close(const state::intent_closed& value,
                         const incarnation_id& writer)
{
    const auto name = name_of(value);
    const auto it = keys_.find(name);
    if (it == keys_.end() || it->second.writer != writer ||
        it->second.phase != intent_phase::open) {
        return;
    }
    if (!value.ran) {
        keys_.erase(it);
        return;
    }
    store_response(name, it->second, value);
}

void intent_table::store_response(const intent_name& name, intent_state& it,
                                  const state::intent_closed& value)
{
    it.phase = phase_of(value);
    it.answer = {.status = static_cast<int>(value.status),
                 .content_type = value.content_type,
                 .body = value.body};
    if (value.body.empty()) {
        return;
    }
    body_bytes_ += value.body.size();
    stored_bodies_.push_back({.name = name, .number = it.number});
    evict_oldest_bodies();
}

void intent_table::evict_oldest_key()
{
    const auto oldest = std::move(opened_keys_.front());
    opened_keys_.pop_front();
    const auto it = keys_.find(oldest.name);
    if (it != keys_.end() && it->second.number == oldest.number) {
        body_bytes_ -= it->second.answer.body.size();
        keys_.erase(it);
    }
}

void intent_table::evict_oldest_bodies()
{
    while (body_bytes_ > options_.max_body_bytes ||
           stored_bodies_.size() > options_.max_keys) {
        const auto oldest = std::move(stored_bodies_.front());
        stored_bodies_.pop_front();
        const auto it = keys_.find(oldest.name);
        if (it != keys_.end() && it->second.number == oldest.number) {
            body_bytes_ -= it->second.answer.body.size();
            it->second.answer.body = {};
            it->second.phase = intent_phase::ran;
        }
    }
}

} // namespace rosemarytrail::request
