#include <rosemarytrail/request/upstream_selector.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace rosemarytrail::request {

namespace {

constexpr duration overload_retry_delay{std::chrono::milliseconds{100}};
constexpr duration no_upstream_retry_delay{std::chrono::seconds{1}};

/**
 * @brief Ranking criteria of available upstreams; lower values are preferred.
 */
struct preference
{
    /** @brief In backoff after a refusal, or recovering from an ejection. */
    bool deprioritized{};
    /** @brief May not have the write that the caller has seen. */
    bool maybe_stale{};
    bool in_other_zone{};

    [[nodiscard]] bool operator<(const preference& other) const noexcept
    {
        return std::tie(deprioritized, maybe_stale, in_other_zone) <
               std::tie(other.deprioritized, other.maybe_stale,
                        other.in_other_zone);
    }
};

std::uint32_t divide_rounding_up(std::uint32_t whole,
                                 std::uint32_t divisor) noexcept
{
    return (whole + divisor - 1) / divisor;
}

std::uint32_t divide_exactly(std::uint32_t whole, std::uint32_t divisor,
                             std::uint32_t position) noexcept
{
    return whole / divisor + (position % divisor < whole % divisor ? 1 : 0);
}

} // namespace

std::uint32_t share_of(const upstream_view& upstream,
                       const routing_table& table)
{
    const auto divisor = std::max(1U, table.entry_vms);
    const auto whole = std::min(upstream.slots, upstream.connections);
    if (!table.entry_rank) {
        return divide_rounding_up(whole, divisor);
    }
    const auto spread = std::hash<vm_id>{}(upstream.vm) % divisor;
    const auto position =
        static_cast<std::uint32_t>(spread) + *table.entry_rank;
    return divide_exactly(whole, divisor, position);
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
                          const selection_criteria& criteria, time_point now,
                          reason& why)
{
    auto& state = state_of(criteria.service);
    const std::lock_guard lock{state.mutex};
    index(state, criteria.service, table);
    const auto* const best = best_candidate(state, criteria, now);
    if (best == nullptr) {
        const bool any = !state.candidates.empty();
        why.code = any ? result_code::overloaded : result_code::no_upstream;
        why.retry_after = any ? overload_retry_delay : no_upstream_retry_delay;
        return std::nullopt;
    }
    ++best->load->in_flight;
    return upstream_choice{.service = criteria.service,
                           .vm = best->view->vm,
                           .address = best->view->address,
                           .known_offset = best->load->write_offset};
}

void upstream_selector::record_refusal(upstream_load& load,
                                       time_point now) const
{
    constexpr std::uint32_t max_doublings = 10;
    const auto doublings = std::min(load.consecutive_refusals++, max_doublings);
    load.backoff_until =
        now + std::min(options_.refusal_backoff * (1U << doublings),
                       options_.max_refusal_backoff);
}

duration upstream_selector::decayed_latency(const upstream_load& load,
                                            time_point now) const
{
    const std::chrono::duration<double> since{now - load.measured_at};
    const std::chrono::duration<double> memory{options_.latency_decay_time};
    const std::chrono::duration<double> left =
        load.latency * std::exp(-(since / memory));
    return std::max(std::chrono::duration_cast<duration>(left),
                    options_.min_latency);
}

void upstream_selector::record_latency(upstream_load& load, duration sample,
                                       time_point now) const
{
    load.latency = std::max(sample, decayed_latency(load, now));
    load.measured_at = now;
}

double upstream_selector::score(const candidate& it, std::uint32_t entry_vms,
                                time_point now) const
{
    const double own = static_cast<double>(it.load->in_flight + 1) * entry_vms;
    const double load = (own + it.view->busy_slots) / it.view->slots;
    return load * static_cast<double>(decayed_latency(*it.load, now).count());
}

const upstream_selector::candidate*
upstream_selector::best_candidate(service_state& state,
                                  const selection_criteria& criteria,
                                  time_point now) const
{
    if (criteria.read_offset && !criteria.preferred.empty()) {
        const auto it =
            std::ranges::find_if(state.candidates, [&](const candidate& other) {
                return other.view->vm == criteria.preferred;
            });
        if (it != state.candidates.end() && is_available(*it, criteria, now)) {
            return &*it;
        }
    }
    const auto pair = sample_pair(state, criteria, now);
    if (pair.second == nullptr) {
        return pair.first;
    }
    const auto n = state.indexed_table->entry_vms;
    const auto first = score(*pair.first, n, now);
    const auto second = score(*pair.second, n, now);
    return second < first ? pair.second : pair.first;
}

upstream_selector::candidate_pair
upstream_selector::sample_pair(service_state& state,
                               const selection_criteria& criteria,
                               time_point now) const
{
    candidate_pair pair;
    preference best;
    std::uint32_t seen = 0;
    for (const auto& it : state.candidates) {
        if (!is_available(it, criteria, now)) {
            continue;
        }
        const auto required_offset = criteria.read_offset.value_or(0);
        const bool maybe_stale = required_offset > it.load->write_offset;
        const preference own{.deprioritized = is_deprioritized(state, it, now),
                             .maybe_stale = maybe_stale,
                             .in_other_zone =
                                 it.view->zone != state.indexed_table->zone};
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
        const auto position = seen <= 2 ? seen - 1 : state.random() % seen;
        if (position == 0) {
            pair.first = &it;
        } else if (position == 1) {
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
    switch (result.status) {
    case response_status::whole:
    case response_status::stale:
        load.consecutive_refusals = 0;
        load.health.record_success(options_.health, now);
        record_latency(load, result.elapsed, now);
        return false;
    case response_status::refused:
        record_refusal(load, now);
        return false;
    case response_status::failed:
    case response_status::not_sent:
    case response_status::crossed:
    case response_status::cut_off:
    case response_status::late:
        break;
    }
    record_latency(load, std::max(result.elapsed, options_.min_failure_latency),
                   now);
    return load.health.record_failure(options_.health, may_eject(state, now),
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

void upstream_selector::record_request(const service_id& service)
{
    auto& state = state_of(service);
    const std::lock_guard lock{state.mutex};
    state.retries.record_request();
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
    if (state.indexed_table == table) {
        return;
    }
    state.indexed_table = table;
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

bool upstream_selector::is_available(const candidate& it,
                                     const selection_criteria& criteria,
                                     time_point now)
{
    if (it.load->in_flight >= it.share || it.load->health.ejected(now)) {
        return false;
    }
    return std::ranges::find(criteria.tried, it.view->vm) ==
           criteria.tried.end();
}

bool upstream_selector::is_deprioritized(service_state& state,
                                         const candidate& it,
                                         time_point now) const
{
    if (now < it.load->backoff_until) {
        return true;
    }
    const auto part = it.load->health.admitted_fraction(options_.health, now);
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
    const auto most = options_.health.max_ejected_fraction *
                      static_cast<double>(state.candidates.size());
    return static_cast<double>(n + 1) <= most;
}

} // namespace rosemarytrail::request
