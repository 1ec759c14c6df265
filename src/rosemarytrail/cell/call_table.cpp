#include <rosemarytrail/cell/call_table.hpp>

namespace rosemarytrail::cell {

call_table::call_table(const call_table_options& options)
    : options_{options}
{}

bool call_table::make_space(time_point now)
{
    while (!ended_.empty() &&
           (calls_.size() >= options_.max_calls ||
            now - ended_.front().first > options_.retention)) {
        calls_.erase(ended_.front().second);
        ended_.pop_front();
    }
    return calls_.size() < options_.max_calls;
}

bool call_table::begin(const call_number& call, time_point now)
{
    if (!make_space(now)) {
        return false;
    }
    const auto [it, added] = calls_.try_emplace(
        call, call_report{.progress = call_progress::in_progress,
                          .answer = std::nullopt});
    return added || it->second.progress != call_progress::unknown;
}

void call_table::finish(const call_number& call, const client_answer& answer,
                        time_point now)
{
    const auto it = calls_.find(call);
    if (it == calls_.end() ||
        it->second.progress != call_progress::in_progress) {
        return;
    }
    it->second = {.progress = call_progress::answered, .answer = answer};
    ended_.emplace_back(now, call);
}

call_report call_table::query(const call_number& call, time_point now)
{
    if (const auto it = calls_.find(call); it != calls_.end()) {
        return it->second;
    }
    const call_report unknown{.progress = call_progress::unknown,
                              .answer = std::nullopt};
    if (make_space(now)) {
        calls_.emplace(call, unknown);
        ended_.emplace_back(now, call);
    }
    return unknown;
}

} // namespace rosemarytrail::cell
