#ifndef ROSEMARYTRAIL_BENCH_REQUEST_ENTRY_VM_HPP
#define ROSEMARYTRAIL_BENCH_REQUEST_ENTRY_VM_HPP

#include "event_queue.hpp"
#include "fake_log.hpp"
#include "fake_upstreams.hpp"
#include "owner.hpp"

#include <rosemarytrail/metrics/registry.hpp>
#include <rosemarytrail/proxy/proxy_handler.hpp>
#include <rosemarytrail/request/intent_log.hpp>

#include <functional>
#include <memory>
#include <string>

namespace rosemarytrail::bench {

/** @brief One run of an entry VM: proxy, intents, and what they call. */
class entry_vm
{
public:
    entry_vm(event_queue& events, fake_fleet& fleet, standin::log_store& store,
             const std::string& name, std::uint64_t seed,
             request::intent_log::liveness alive)
        : events_{events}
        , owner{std::make_shared<bench::owner>(name)}
        , log{events, store, owner, seed}
        , upstreams{events, fleet, owner, seed + 1}
        , intents{{.appends = {.writer = incarnation_id{name},
                               .appends_per_second = 25.0},
                   .read_wait = std::chrono::milliseconds{200}},
                  log,
                  events,
                  std::move(alive)}
        , proxy{{.self = incarnation_id{name},
                 .request_timeout = std::chrono::seconds{2},
                 .seed = seed},
                events,
                upstreams,
                intents,
                metrics}
    {
        tick();
    }
    entry_vm(const entry_vm&) = delete;
    entry_vm& operator=(const entry_vm&) = delete;

private:
    void tick()
    {
        if (!owner->dead) {
            owner->deliver([this] { intents.tick(events_.now()); });
            events_.after(std::chrono::milliseconds{10}, [this] { tick(); });
        }
    }

    event_queue& events_;

public:
    std::shared_ptr<bench::owner> owner;
    metrics::registry metrics;
    fake_log log;
    fake_upstreams upstreams;
    request::intent_log intents;
    proxy::proxy_handler proxy;
};

} // namespace rosemarytrail::bench

#endif
