#include <rosemarytrail/request/upstream_selector.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace rosemarytrail::request {

namespace {

constexpr duration overload_wait{std::chrono::milliseconds{100}};
constexpr duration no_upstream_wait{std::chrono::seconds{1}};

/**
 * @brief Ranking criteria of available upstreams; lower values are preferred.
 */
struct preference
{
    /** @brief In backoff after a refusal, or recovering from an ejection. */
    bool stands_back{};
    /** @brief May not have the write that the caller has seen. */
    bool maybe_stale{};
    bool far{};

    [[nodiscard]] bool operator<(const preference& other) const noexcept
    {
        return std::tie(stands_back, maybe_stale, far) <
               std::tie(other.stands_back, other.maybe_stale, other.far);
    }
};

std::uint32_t rounded_up(std::uint32_t whole, std::uint32_t parts) noexcept
{
    return (whole + parts - 1) / parts;
}

std::uint32_t part_of(std::uint32_t whole, std::uint32_t parts,
                      std::uint32_t place) noexcept
{
    return whole / parts + (place % parts < whole % parts ? 1 : 0);
}

} // namespace

std::uint32_t share_of(const upstream_view& upstream,
                       const routing_table& table)
{
    const auto parts = std::max(1U, table.entry_vms);
    const auto whole = std::min(upstream.slots, upstream.connections);
    if (!table.entry_rank) {
        return rounded_up(whole, parts);
    }
    const auto spread = std::hash<vm_id>{}(upstream.vm) % parts;
    const auto place = static_cast<std::uint32_t>(spread) + *table.entry_rank;
    return part_of(whole, parts, place);
}

upstream_selector::service_state::service_state(const selector_options& options)
    : random{static_cast<std::minstd_rand::result_type>(options.seed)}
    , retries{options.retries}
{}

upstream_selector::upstream_selector(const selector_options& options)
    : options_{options}
{}

std::optional<upstream_choice>
upstream_selector::choose(const std::shared_ptr<const routing_table>& table,
                          const choice_demand& demand, time_point now,
                          reason& why)
{
    auto& state = state_of(demand.service);
    const std::lock_guard lock{state.mutex};
    index(state, demand.service, table);
    const auto* const best = best_of(state, demand, now);
    if (best == nullptr) {
        const bool any = !state.candidates.empty();
        why.code = any ? result_code::overloaded : result_code::no_upstream;
        why.retry_after = any ? overload_wait : no_upstream_wait;
        return std::nullopt;
    }
    ++best->load->in_flight;
    return upstream_choice{.service = demand.service,
                           .vm = best->view->vm,
                           .address = best->view->address,
                           .known_offset = best->load->write_offset};
}

void upstream_selector::note_refusal(upstream_load& load, time_point now) const
{
    constexpr std::uint32_t most_doublings = 10;
    const auto doublings = std::min(load.refusals_in_row++, most_doublings);
    load.resting_until =
        now + std::min(options_.refusal_rest * (1U << doublings),
                       options_.refusal_rest_cap);
}

duration upstream_selector::latency_of(const upstream_load& load,
                                       time_point now) const
{
    const std::chrono::duration<double> since{now - load.measured};
    const std::chrono::duration<double> memory{options_.latency_memory};
    const std::chrono::duration<double> left =
        load.latency * std::exp(-(since / memory));
    return std::max(std::chrono::duration_cast<duration>(left),
                    options_.least_latency);
}

void upstream_selector::note_latency(upstream_load& load, duration sample,
                                     time_point now) const
{
    load.latency = std::max(sample, latency_of(load, now));
    load.measured = now;
}

double upstream_selector::score(const candidate& it, std::uint32_t entry_vms,
                                time_point now) const
{
    const double own = static_cast<double>(it.load->in_flight + 1) * entry_vms;
    const double load = (own + it.view->busy_slots) / it.view->slots;
    return load * static_cast<double>(latency_of(*it.load, now).count());
}

const upstream_selector::candidate*
upstream_selector::best_of(service_state& state, const choice_demand& demand,
                           time_point now) const
{
    if (demand.read_offset && !demand.preferred.empty()) {
        const auto it =
            std::ranges::find_if(state.candidates, [&](const candidate& other) {
                return other.view->vm == demand.preferred;
            });
        if (it != state.candidates.end() && is_open(*it, demand, now)) {
            return &*it;
        }
    }
    const auto pair = draw_pair(state, demand, now);
    if (pair.second == nullptr) {
        return pair.first;
    }
    const auto n = state.indexed->entry_vms;
    const auto first = score(*pair.first, n, now);
    const auto second = score(*pair.second, n, now);
    return second < first ? pair.second : pair.first;
}

upstream_selector::candidate_pair
upstream_selector::draw_pair(service_state& state, const choice_demand& demand,
                             time_point now) const
{
    candidate_pair pair;
    preference best;
    std::uint32_t seen = 0;
    for (const auto& it : state.candidates) {
        if (!is_open(it, demand, now)) {
            continue;
        }
        const auto asked = demand.read_offset.value_or(0);
        const bool maybe_stale = asked > it.load->write_offset;
        const preference own{.stands_back = stands_back(state, it, now),
                             .maybe_stale = maybe_stale,
                             .far = it.view->zone != state.indexed->zone};
        if (seen > 0 && best < own) {
            continue;
        }
        if (seen == 0 || own < best) {
            best = own;
            seen = 0;
            pair = {};
        }
        // Reservoir sampling of two: position 0 or 1 is replaced.
        ++seen;
        const auto place = seen <= 2 ? seen - 1 : state.random() % seen;
        if (place == 0) {
            pair.first = &it;
        } else if (place == 1) {
            pair.second = &it;
        }
    }
    if (pair.second != nullptr && state.random() % 2 == 0) {
        std::swap(pair.first, pair.second);
    }
    return pair;
}

bool upstream_selector::release(const upstream_choice& choice,
                                const upstream_result& result, time_point now)
{
    auto& state = state_of(choice.service);
    const std::lock_guard lock{state.mutex};
    auto& load = state.loads[choice.vm];
    --load.in_flight;
    if (result.write_offset) {
        load.write_offset = std::max(load.write_offset, *result.write_offset);
    }
    switch (result.verdict) {
    case answer_verdict::whole:
    case answer_verdict::stale:
        load.refusals_in_row = 0;
        load.health.note_success(options_.health, now);
        note_latency(load, result.elapsed, now);
        return false;
    case answer_verdict::refused:
        note_refusal(load, now);
        return false;
    case answer_verdict::failed:
    case answer_verdict::not_sent:
    case answer_verdict::crossed:
    case answer_verdict::cut_off:
    case answer_verdict::late:
        break;
    }
    note_latency(load, std::max(result.elapsed, options_.failure_latency), now);
    return load.health.note_failure(options_.health, may_eject(state, now),
                                    now);
}

std::uint32_t
upstream_selector::capacity(const std::shared_ptr<const routing_table>& table,
                            const service_id& service, time_point now)
{
    auto& state = state_of(service);
    const std::lock_guard lock{state.mutex};
    index(state, service, table);
    std::uint32_t sum = 0;
    for (const auto& it : state.candidates) {
        sum += it.load->health.ejected(now) ? 0 : it.share;
    }
    return sum;
}

void upstream_selector::note_request(const service_id& service)
{
    auto& state = state_of(service);
    const std::lock_guard lock{state.mutex};
    state.retries.note_request();
}

bool upstream_selector::take_retry(const service_id& service)
{
    auto& state = state_of(service);
    const std::lock_guard lock{state.mutex};
    return state.retries.take();
}

upstream_selector::service_state&
upstream_selector::state_of(const service_id& service)
{
    const std::lock_guard lock{mutex_};
    auto& it = services_[service];
    if (!it) {
        it = std::make_unique<service_state>(options_);
    }
    return *it;
}

void upstream_selector::index(service_state& state, const service_id& service,
                              const std::shared_ptr<const routing_table>& table)
{
    if (state.indexed == table) {
        return;
    }
    state.indexed = table;
    state.candidates.clear();
    const auto it = table->services.find(service);
    if (it == table->services.end()) {
        return;
    }
    std::uint32_t sum = 0;
    for (const auto& view : it->second) {
        if (!view.leaving) {
            const auto share = share_of(view, *table);
            sum += share;
            state.candidates.push_back(
                {.view = &view, .load = &state.loads[view.vm], .share = share});
        }
    }
    if (sum == 0) {
        for (auto& candidate : state.candidates) {
            candidate.share = 1;
        }
    }
    std::erase_if(state.loads, [&](const auto& load) {
        const auto is_same = [&](const upstream_view& view) {
            return view.vm == load.first;
        };
        return load.second.in_flight == 0 &&
               std::ranges::none_of(it->second, is_same);
    });
}

bool upstream_selector::is_open(const candidate& it,
                                const choice_demand& demand, time_point now)
{
    if (it.load->in_flight >= it.share || it.load->health.ejected(now)) {
        return false;
    }
    return std::ranges::find(demand.tried, it.view->vm) == demand.tried.end();
}

bool upstream_selector::stands_back(service_state& state, const candidate& it,
                                    time_point now) const
{
    if (now < it.load->resting_until) {
        return true;
    }
    const auto part = it.load->health.admitted_part(options_.health, now);
    if (part >= 1.0) {
        return false;
    }
    std::uniform_real_distribution<double> any{0.0, 1.0};
    return any(state.random) >= part;
}

bool upstream_selector::may_eject(const service_state& state,
                                  time_point now) const
{
    const auto n =
        std::ranges::count_if(state.candidates, [now](const candidate& it) {
            return it.load->health.ejected(now);
        });
    const auto most = options_.health.ejected_fraction *
                      static_cast<double>(state.candidates.size());
    return static_cast<double>(n + 1) <= most;
}

} // namespace rosemarytrail::request
