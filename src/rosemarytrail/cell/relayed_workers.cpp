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

bool relayed_workers::has_relay(const fleet::worker_address& worker,
                                time_point now) const
{
    const auto planned = plan_.find(worker.id);
    if (planned == plan_.end()) {
        return false;
    }
    const auto known = relays_.find(planned->second);
    return known == relays_.end() || known->second.distrusted_until <= now;
}

void relayed_workers::enqueue(worker_call call,
                              const fleet::worker_address& worker,
                              callback done, duration wait)
{
    const auto now = boot_clock::now();
    call.id = ++last_id_;
    const auto shared = std::make_shared<const worker_call>(std::move(call));
    const auto& name = plan_.at(worker.id);
    relays_[name].queued.push_back(shared);
    open_.emplace(shared->id,
                  open_call{.call = shared,
                            .done = std::move(done),
                            .relay = name,
                            .expires = now + wait + options_.result_timeout});
}

void relayed_workers::start(const fleet::start_request& request,
                            std::function<void(fleet::start_result)> done)
{
    if (has_relay(request.worker, boot_clock::now())) {
        enqueue({.request = request}, request.worker, std::move(done), {});
    } else {
        direct_.start(request, std::move(done));
    }
}

void relayed_workers::stop(const fleet::stop_request& request,
                           std::function<void(bool)> done)
{
    if (has_relay(request.worker, boot_clock::now())) {
        enqueue({.request = request}, request.worker, std::move(done), {});
    } else {
        direct_.stop(request, std::move(done));
    }
}

void relayed_workers::throttle(const fleet::throttle_request& request,
                               std::function<void(bool)> done)
{
    if (has_relay(request.worker, boot_clock::now())) {
        enqueue({.request = request}, request.worker, std::move(done), {});
    } else {
        direct_.throttle(request, std::move(done));
    }
}

void relayed_workers::poll(
    const fleet::poll_request& request,
    std::function<void(fleet::poll_result, fleet::poll_response)> done)
{
    if (has_relay(request.worker, boot_clock::now())) {
        enqueue({.request = request}, request.worker, std::move(done),
                request.wait);
    } else {
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
    open_.erase(found);
    if (const auto* it = std::get_if<fleet::start_result>(&result.result)) {
        std::get<std::function<void(fleet::start_result)>>(done)(*it);
    } else if (const auto* acknowledged = std::get_if<bool>(&result.result)) {
        std::get<std::function<void(bool)>>(done)(*acknowledged);
    } else {
        auto& poll = std::get<poll_answer>(result.result);
        std::get<poll_callback>(done)(poll.result, std::move(poll.response));
    }
}

void relayed_workers::call_directly(std::uint64_t id)
{
    auto& open = open_.at(id);
    open.relay.clear();
    const auto finish = [this, alive = alive_, id](auto result) {
        if (*alive) {
            complete({.id = id, .result = std::move(result)});
        }
    };
    const auto& request = open.call->request;
    if (const auto* it = std::get_if<fleet::start_request>(&request)) {
        direct_.start(*it, finish);
    } else if (const auto* stop = std::get_if<fleet::stop_request>(&request)) {
        direct_.stop(*stop, finish);
    } else if (const auto* throttle =
                   std::get_if<fleet::throttle_request>(&request)) {
        direct_.throttle(*throttle, finish);
    } else {
        direct_.poll(
            std::get<fleet::poll_request>(request),
            [finish](fleet::poll_result result, fleet::poll_response response) {
                finish(poll_answer{.result = result,
                                   .response = std::move(response)});
            });
    }
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
    const auto n = std::min(relay.queued.size(), options_.calls_per_message);
    const auto end = relay.queued.begin() + static_cast<std::ptrdiff_t>(n);
    batch.calls.assign(relay.queued.begin(), end);
    relay.queued.erase(relay.queued.begin(), end);
    relayed_calls_.add(n);
    peers_.send_calls(address_of(name), batch, options_.send_timeout,
                      [this, alive = alive_, name](message_result result) {
                          if (!*alive) {
                              return;
                          }
                          relays_[name].in_flight = false;
                          if (result != message_result::accepted) {
                              lose(name,
                                   result == message_result::refused
                                       ? "it refused calls"
                                       : "it did not respond",
                                   boot_clock::now());
                          }
                      });
}

void relayed_workers::lose(const std::string& name, std::string_view why,
                           time_point now)
{
    auto& relay = relays_[name];
    relay.distrusted_until = now + options_.distrust;
    relay.queued.clear();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, it] : open_) {
        if (it.relay == name) {
            ids.push_back(id);
        }
    }
    lost_relays_.add();
    logging::event(
        logging::level::warning, "relay_lost",
        {{"relay", name},
         {"why", why},
         {"open_calls", std::to_string(ids.size())},
         {"unused_ms", std::to_string(to_milliseconds(options_.distrust))}});
    // The calls keep their order.
    std::ranges::sort(ids);
    for (const auto id : ids) {
        call_directly(id);
    }
}

void relayed_workers::run(time_point now)
{
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
        lose(name, "results are overdue", now);
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
    for (auto& [name, relay] : relays_) {
        relay.queued.clear();
    }
}

} // namespace rosemarytrail::cell
