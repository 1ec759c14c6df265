#include <rosemarytrail/cell/relayed_workers.hpp>

#include <rosemarytrail/cell/member_name.hpp>
#include <rosemarytrail/logging/event_log.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @brief Interval at which overdue results are looked for. */
constexpr duration check_interval{std::chrono::milliseconds{100}};

/** @brief Estimates the size of a message as calls are added to it. */
class message_size
{
public:
    void add(const worker_call& call)
    {
        constexpr std::size_t fields = 120;
        bytes_ += fields;
        const auto* start = std::get_if<fleet::start_request>(&call.request);
        if (start != nullptr && start->payload &&
            payloads_.insert(start->payload.get()).second) {
            bytes_ += start->payload->size();
        }
    }

    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    std::size_t bytes_{};
    /** @brief Payloads in the message; each is included once. */
    std::set<const std::string*> payloads_;
};

} // namespace

relayed_workers::relayed_workers(const relayed_workers_options& options,
                                 std::string member, worker_port& direct,
                                 peer_link& peers,
                                 metrics::counter& relayed_calls,
                                 metrics::counter& lost_relays)
    : options_{options}
    , member_{std::move(member)}
    , direct_{direct}
    , peers_{peers}
    , relayed_calls_{relayed_calls}
    , lost_relays_{lost_relays}
    , alive_{std::make_shared<bool>(true)}
{}

relayed_workers::~relayed_workers()
{
    *alive_ = false;
}

void relayed_workers::set_plan(relay_assignment plan)
{
    plan_ = std::move(plan);
    std::set<std::string> relays;
    for (const auto& [worker, relay] : plan_) {
        relays.insert(relay);
    }
    planned_relays_.assign(relays.begin(), relays.end());
}

bool relayed_workers::is_trusted(const std::string& relay, time_point now) const
{
    const auto known = relays_.find(relay);
    return known == relays_.end() || known->second.distrusted_until <= now;
}

std::string relayed_workers::route(const std::string& worker,
                                   time_point now) const
{
    const auto planned = plan_.find(worker);
    if (planned == plan_.end()) {
        return {};
    }
    if (is_trusted(planned->second, now)) {
        return planned->second;
    }
    const auto other =
        std::ranges::find_if(planned_relays_, [&](const std::string& it) {
            return is_trusted(it, now);
        });
    return other == planned_relays_.end() ? std::string{} : *other;
}

std::string relayed_workers::route(const worker_call& call,
                                   time_point now) const
{
    return std::visit([&](const auto& it) { return route(it.worker.id, now); },
                      call.request);
}

void relayed_workers::queue(open_call& open, std::string relay)
{
    open.relay = std::move(relay);
    relays_[open.relay].queued.push_back(open.call);
}

template <typename Request, typename Callback>
bool relayed_workers::enqueue(const Request& request, Callback& done,
                              duration wait)
{
    if (!plan_.contains(request.worker.id)) {
        return false;
    }
    const auto now = boot_clock::now();
    const auto call = std::make_shared<const worker_call>(
        worker_call{.id = ++last_id_, .request = request});
    open_.emplace(call->id, open_call{.call = call,
                                      .done = std::move(done),
                                      .relay = {},
                                      .wait = wait});
    reroute(call->id, now);
    send_waiting(now);
    return true;
}

void relayed_workers::start(const fleet::start_request& request,
                            std::function<void(fleet::start_response)> done)
{
    if (!enqueue(request, done, {})) {
        direct_.start(request, std::move(done));
    }
}

void relayed_workers::stop(const fleet::stop_request& request,
                           std::function<void(bool)> done)
{
    if (!enqueue(request, done, {})) {
        direct_.stop(request, std::move(done));
    }
}

void relayed_workers::throttle(const fleet::throttle_request& request,
                               std::function<void(bool)> done)
{
    if (!enqueue(request, done, {})) {
        direct_.throttle(request, std::move(done));
    }
}

void relayed_workers::poll(
    const fleet::poll_request& request,
    std::function<void(fleet::poll_result, fleet::poll_response)> done)
{
    if (!enqueue(request, done, request.wait)) {
        direct_.poll(request, std::move(done));
    }
}

void relayed_workers::complete(worker_call_result result)
{
    const auto found = open_.find(result.id);
    if (found == open_.end() ||
        found->second.done.index() != result.result.index()) {
        return;
    }
    const auto done = std::move(found->second.done);
    const bool maybe_made = found->second.maybe_made;
    open_.erase(found);
    if (auto* it = std::get_if<fleet::start_response>(&result.result)) {
        const bool conclusive = !maybe_made ||
                                it->result == fleet::start_result::started ||
                                it->result == fleet::start_result::fenced;
        if (maybe_made) {
            // Another incarnation may execute the other copy.
            it->clock_ms.reset();
        }
        std::get<std::function<void(fleet::start_response)>>(done)(
            conclusive ? *it : fleet::start_response{});
    } else if (const auto* acknowledged = std::get_if<bool>(&result.result)) {
        std::get<std::function<void(bool)>>(done)(*acknowledged);
    } else {
        auto& poll = std::get<poll_answer>(result.result);
        std::get<poll_callback>(done)(poll.result, std::move(poll.response));
    }
}

void relayed_workers::call_directly(const worker_call& call)
{
    ++direct_in_flight_;
    make_call(direct_, call, [this, alive = alive_](worker_call_result result) {
        if (*alive) {
            --direct_in_flight_;
            complete(std::move(result));
        }
    });
}

bool relayed_workers::receive(worker_result_batch batch)
{
    if (batch.leader != member_) {
        return false;
    }
    for (auto& it : batch.results) {
        complete(std::move(it));
    }
    return true;
}

void relayed_workers::send(const std::string& name, time_point now)
{
    auto& relay = relays_.at(name);
    relay.in_flight = true;
    relay.next_send = now + options_.send_interval;
    worker_call_batch batch{.relay = name, .leader = member_, .calls = {}};
    message_size size;
    std::size_t n = 0;
    for (; n < relay.queued.size() && size.bytes() < options_.message_bytes;
         ++n) {
        const auto& call = relay.queued[n];
        size.add(*call);
        if (const auto open = open_.find(call->id); open != open_.end()) {
            open->second.sent = true;
            open->second.expires =
                now + open->second.wait + options_.result_timeout;
        }
    }
    const auto end = relay.queued.begin() + static_cast<std::ptrdiff_t>(n);
    batch.calls.assign(relay.queued.begin(), end);
    relay.queued.erase(relay.queued.begin(), end);
    relayed_calls_.add(n);
    peers_.send_calls(address_of(name), batch, options_.send_timeout,
                      [this, alive = alive_, name,
                       calls = batch.calls](message_result result) {
                          if (*alive) {
                              on_sent(name, calls, result);
                          }
                      });
}

void relayed_workers::on_sent(
    const std::string& name,
    const std::vector<std::shared_ptr<const worker_call>>& calls,
    message_result result)
{
    relays_[name].in_flight = false;
    if (result == message_result::accepted) {
        return;
    }
    const bool refused = result == message_result::refused;
    for (const auto& it : calls) {
        const auto open = open_.find(it->id);
        if (refused && open != open_.end() && open->second.relay == name) {
            open->second.sent = false;
        }
    }
    lose(name, refused ? "it refused calls" : "it did not respond",
         refused ? options_.refusal_distrust : options_.distrust,
         boot_clock::now());
}

void relayed_workers::lose(const std::string& name, std::string_view why,
                           duration unused, time_point now)
{
    auto& relay = relays_[name];
    relay.distrusted_until = now + unused;
    relay.queued.clear();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, it] : open_) {
        if (it.relay == name) {
            ids.push_back(id);
        }
    }
    lost_relays_.add();
    logging::event(logging::level::warning, "relay_lost",
                   {{"relay", name},
                    {"why", why},
                    {"open_calls", std::to_string(ids.size())},
                    {"unused_ms", std::to_string(to_milliseconds(unused))}});
    // The calls keep their order.
    std::ranges::sort(ids);
    for (const auto id : ids) {
        reroute(id, now);
    }
    send_waiting(now);
}

void relayed_workers::reroute(std::uint64_t id, time_point now)
{
    auto& open = open_.at(id);
    open.maybe_made = open.maybe_made || open.sent;
    open.sent = false;
    open.relay.clear();
    open.expires = time_point::max();
    if (auto relay = route(*open.call, now); !relay.empty()) {
        queue(open, std::move(relay));
    } else {
        waiting_.push_back(id);
    }
}

void relayed_workers::send_waiting(time_point now)
{
    while (!waiting_.empty()) {
        const auto found = open_.find(waiting_.front());
        if (found != open_.end()) {
            // The call outlives its entry, which goes with the result.
            const auto call = found->second.call;
            if (auto relay = route(*call, now); !relay.empty()) {
                queue(found->second, std::move(relay));
            } else if (direct_in_flight_ < options_.max_direct_calls) {
                call_directly(*call);
            } else {
                return;
            }
        }
        waiting_.pop_front();
    }
}

void relayed_workers::run(time_point now)
{
    send_waiting(now);
    for (const auto& [name, relay] : relays_) {
        if (!relay.queued.empty() && !relay.in_flight &&
            relay.next_send <= now) {
            send(name, now);
        }
    }
    if (now < next_check_) {
        return;
    }
    next_check_ = now + check_interval;
    std::set<std::string> overdue;
    for (const auto& [id, it] : open_) {
        if (!it.relay.empty() && it.expires < now) {
            overdue.insert(it.relay);
        }
    }
    for (const auto& name : overdue) {
        lose(name, "results are overdue", options_.distrust, now);
    }
    std::erase_if(relays_, [now](const auto& it) {
        const auto& relay = it.second;
        return relay.queued.empty() && !relay.in_flight &&
               relay.next_send + check_interval < now &&
               relay.distrusted_until < now;
    });
}

void relayed_workers::clear()
{
    open_.clear();
    waiting_.clear();
    for (auto& [name, relay] : relays_) {
        relay.queued.clear();
    }
}

} // namespace rosemarytrail::cell
