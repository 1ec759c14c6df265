#include <test/lib/cell_links.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::test {

void link_end::answer(duration delay, std::function<void()> call) const
{
    auto& target = owner;
    target.time.after(
        delay, [&target, daemon = daemon, gen = generation,
                call = std::move(call)] { target.deliver(daemon, gen, call); });
}

void cell_log_link::append(std::string stream, std::string payload,
                           append_callback done)
{
    auto& it = end_.owner;
    const auto fate = it.see({.to = message_peer::log_append,
                              .daemon = end_.daemon,
                              .payload = &payload});
    if (!end_.alive() || fate.never_sent) {
        return;
    }
    if (it.daemons[end_.daemon].log_cut) {
        end_.answer(it.options.call_timeout, [done] { done({}); });
        return;
    }
    repeat_append(stream, payload, fate);
    it.time.after(it.options.latency,
                  [this, stream = std::move(stream),
                   payload = std::move(payload), fate,
                   done] { take_append(stream, payload, fate, done); });
}

void cell_log_link::repeat_append(const std::string& stream,
                                  const std::string& payload,
                                  const message_fate& fate)
{
    auto& it = end_.owner;
    if (fate.repeat_after) {
        it.time.after(*fate.repeat_after, [&it, stream, payload] {
            (void)it.log.append(stream, payload, it.time.now());
            it.wake_readers(stream);
        });
    }
}

void cell_log_link::take_append(const std::string& stream,
                                const std::string& payload,
                                const message_fate& fate,
                                const append_callback& done)
{
    auto& it = end_.owner;
    const auto result = it.log.append(stream, payload, it.time.now());
    // A refused append takes no effect: it is not in the log.
    message_fate now_fate;
    if (result.outcome.result == backends::append_result::appended) {
        now_fate = it.see({.to = message_peer::log_append,
                           .stage = message_stage::taken_effect,
                           .daemon = end_.daemon,
                           .payload = &payload});
    }
    it.wake_readers(stream);
    repeat_append(stream, payload, now_fate);
    const auto slow = it.log.faults().mode == standin::fault_mode::slow
                          ? it.log.faults().slow
                          : duration{};
    const auto delay = it.options.latency + fate.delay + now_fate.delay + slow;
    const bool lost = fate.lose_answer || now_fate.lose_answer || result.lost ||
                      delay >= it.options.call_timeout;
    if (lost) {
        end_.answer(it.options.call_timeout, [done] { done({}); });
        return;
    }
    end_.answer(delay, [done, outcome = result.outcome] { done(outcome); });
}

void cell_log_link::read(backends::read_options options, read_callback done)
{
    auto& it = end_.owner;
    const auto fate =
        it.see({.to = message_peer::log_read, .daemon = end_.daemon});
    if (!end_.alive()) {
        return;
    }
    if (it.daemons[end_.daemon].log_cut || fate.lose_answer) {
        end_.answer(it.options.call_timeout, [done] { done({}); });
        return;
    }
    const auto until = it.time.now() + it.options.latency + options.wait;
    it.time.after(
        it.options.latency, [this, options = std::move(options), until, done] {
            take_read(options, until, std::make_shared<bool>(false), done);
        });
}

void cell_log_link::take_read(const backends::read_options& options,
                              time_point until,
                              const std::shared_ptr<bool>& answered,
                              const read_callback& done)
{
    auto& it = end_.owner;
    if (*answered) {
        return;
    }
    const auto outcome = it.log.read(options);
    const bool empty = outcome.result == backends::read_result::read &&
                       outcome.entries.empty();
    if (empty && it.time.now() < until) {
        const auto again = [this, options, until, answered, done] {
            if (end_.alive()) {
                take_read(options, until, answered, done);
            }
        };
        it.wait_for_entries(options.stream, again);
        it.time.after(until - it.time.now(), again);
        return;
    }
    *answered = true;
    const auto slow = it.log.faults().mode == standin::fault_mode::slow
                          ? it.log.faults().slow
                          : duration{};
    if (slow >= it.options.call_timeout) {
        end_.answer(it.options.call_timeout, [done] { done({}); });
        return;
    }
    end_.answer(it.options.latency + slow, [done, outcome] { done(outcome); });
}

void cell_vm_list_link::fetch(
    std::function<void(backends::vm_list_outcome)> done)
{
    auto& it = end_.owner;
    end_.answer(2 * it.options.latency,
                [&it, done] { done(it.vm_list.list(it.time.now())); });
}

void cell_worker_link::send(const std::string& address,
                            backends::worker_batch batch, callback done)
{
    auto& it = end_.owner;
    const auto found =
        std::find_if(it.workers.begin(), it.workers.end(), [&](const auto& w) {
            return w.entry.worker_address == address;
        });
    const auto vm = static_cast<std::size_t>(found - it.workers.begin());
    const auto fate = it.see({.to = message_peer::worker,
                              .daemon = end_.daemon,
                              .vm = found->entry.vm,
                              .batch = &batch});
    if (!end_.alive() || fate.never_sent) {
        return;
    }
    if (found->cut || found->dead || it.daemons[end_.daemon].workers_cut) {
        end_.answer(it.options.call_timeout, [done] { done({}); });
        return;
    }
    it.time.after(it.options.latency, [this, vm, batch, fate, done] {
        take_effect(vm, batch, fate, done);
    });
    repeat(vm, batch, fate);
}

void cell_worker_link::repeat(std::size_t vm,
                              const backends::worker_batch& batch,
                              const message_fate& fate)
{
    auto& it = end_.owner;
    if (fate.repeat_after) {
        it.time.after(*fate.repeat_after, [&it, vm, batch] {
            if (it.workers[vm].model) {
                (void)it.workers[vm].model->apply(batch, it.time.now());
            }
        });
    }
}

void cell_worker_link::take_effect(std::size_t vm,
                                   const backends::worker_batch& batch,
                                   const message_fate& fate,
                                   const callback& done)
{
    auto& it = end_.owner;
    auto& worker = it.workers[vm];
    if (!worker.model) {
        end_.answer(it.options.call_timeout, [done] { done({}); });
        return;
    }
    for (const auto& command : batch.commands) {
        if (command.kind == backends::command_kind::start) {
            it.note_start(command, worker);
        }
    }
    const auto outcome = worker.model->apply(batch, it.time.now());
    const auto now_fate = it.see({.to = message_peer::worker,
                                  .stage = message_stage::taken_effect,
                                  .daemon = end_.daemon,
                                  .vm = worker.entry.vm,
                                  .batch = &batch});
    repeat(vm, batch, now_fate);
    const auto delay = it.options.latency + fate.delay + now_fate.delay;
    const bool lost = fate.lose_answer || now_fate.lose_answer ||
                      it.workers[vm].cut || delay >= it.options.call_timeout;
    if (lost) {
        end_.answer(it.options.call_timeout, [done] { done({}); });
        return;
    }
    end_.answer(delay, [done, outcome] { done(outcome); });
}

void cell_upstream_link::fetch(http::client_request outgoing, callback done)
{
    auto& it = end_.owner;
    const auto found =
        std::find_if(it.workers.begin(), it.workers.end(), [&](const auto& w) {
            return outgoing.url.find("//" + w.entry.service_address + "/") !=
                   std::string::npos;
        });
    if (found == it.workers.end()) {
        end_.answer({}, [done] { done({}); });
        return;
    }
    const auto vm = static_cast<std::size_t>(found - it.workers.begin());
    const auto fate = it.see({.to = message_peer::upstream,
                              .daemon = end_.daemon,
                              .vm = found->entry.vm});
    if (!end_.alive() || fate.never_sent) {
        return;
    }
    if (found->dead || found->cut) {
        end_.answer(it.options.latency, [done] { done({}); });
        return;
    }
    it.time.after(it.options.latency, [this, vm, outgoing, fate, done] {
        take_effect(vm, outgoing, fate, done);
    });
}

void cell_upstream_link::take_effect(std::size_t vm,
                                     const http::client_request& outgoing,
                                     const message_fate& fate,
                                     const callback& done)
{
    auto& it = end_.owner;
    auto& worker = it.workers[vm];
    const auto text = [&](std::string_view name) {
        return std::string{
            http::find_header(outgoing.headers, name).value_or("")};
    };
    const service_id service{"plugs"};
    const bool serves = worker.model && worker.model->serves(service);
    if (!serves) {
        const http::response refusal{
            .status = 503,
            .headers = {{"X-Request-Id", text("X-Request-Id")},
                        {"X-Not-Run", "1"}}};
        end_.answer(it.options.latency, [done, refusal] {
            done({.transport = http::transport_result::complete,
                  .answer = refusal});
        });
        return;
    }
    const auto reply =
        worker.upstream->begin({.service = service,
                                .request_id = text("X-Request-Id"),
                                .idempotency_key = text("Idempotency-Key"),
                                .writes = outgoing.method == "POST"});
    const auto now_fate = it.see({.to = message_peer::upstream,
                                  .stage = message_stage::taken_effect,
                                  .daemon = end_.daemon,
                                  .vm = worker.entry.vm});
    const auto delay =
        it.options.latency + reply.delay + fate.delay + now_fate.delay;
    it.time.after(reply.delay, [&it, vm] {
        if (it.workers[vm].upstream) {
            it.workers[vm].upstream->end();
        }
    });
    const bool lost = fate.lose_answer || now_fate.lose_answer;
    if (lost || delay >= outgoing.timeout) {
        const auto transport = lost ? http::transport_result::cut_off
                                    : http::transport_result::timed_out;
        end_.answer(std::min(delay, outgoing.timeout),
                    [done, transport] { done({.transport = transport}); });
        return;
    }
    const http::response answer{
        .headers = {{"X-Request-Id", reply.request_id}},
        .body = "{\"run\":" + std::to_string(reply.run) + "}"};
    end_.answer(delay, [this, vm, done, answer] {
        // A VM that died meanwhile cuts its answers off.
        const bool gone = end_.owner.workers[vm].dead;
        done({.transport = gone ? http::transport_result::cut_off
                                : http::transport_result::complete,
              .answer = answer});
    });
}

template <typename Answer>
void cell_peer_link::call(
    const std::string& address,
    std::function<std::optional<Answer>(control::controller&)> serve,
    std::function<void(std::optional<Answer>)> done)
{
    auto& it = end_.owner;
    const auto target = it.daemon_at(address);
    const auto fate = it.see({.to = message_peer::peer, .daemon = end_.daemon});
    if (!end_.alive()) {
        return;
    }
    const bool cut = !target || fate.lose_answer ||
                     it.daemons[end_.daemon].peers_cut.contains(*target);
    const auto fail = [this, done] {
        end_.answer(end_.owner.options.call_timeout,
                    [done] { done(std::nullopt); });
    };
    if (cut) {
        fail();
        return;
    }
    it.time.after(
        it.options.latency, [this, &it, to = *target, serve, done, fail] {
            if (!it.running(to)) {
                fail();
                return;
            }
            const auto result = serve(*it.daemons[to].controller);
            if (it.daemons[to].peers_cut.contains(end_.daemon)) {
                fail();
                return;
            }
            end_.answer(it.options.latency, [done, result] { done(result); });
        });
}

void cell_peer_link::exchange(
    const std::string& address, control::heartbeat mine,
    std::function<void(std::optional<control::heartbeat>)> done)
{
    auto& it = end_.owner;
    call<control::heartbeat>(
        address,
        [&it, mine](control::controller& peer) {
            return std::optional{peer.on_heartbeat(mine, it.time.now())};
        },
        std::move(done));
}

void cell_peer_link::relay(
    const std::string& address, std::uint64_t from, std::size_t bytes,
    std::function<void(std::optional<std::vector<backends::log_entry>>)> done)
{
    call<std::vector<backends::log_entry>>(
        address,
        [from, bytes](control::controller& peer) {
            return std::optional{peer.relay(from, bytes)};
        },
        std::move(done));
}

void cell_peer_link::status(
    const std::string& address, const job_id& job,
    std::function<void(std::optional<control::job_status>)> done)
{
    auto& it = end_.owner;
    call<control::job_status>(
        address,
        [&it, job](control::controller& peer) {
            return peer.local_status(job, it.time.now());
        },
        std::move(done));
}

void cell_peer_link::cancel(
    const std::string& address, const job_id& job,
    std::function<void(std::optional<control::cancel_outcome>)> done)
{
    call<control::cancel_outcome>(
        address,
        [job](control::controller& peer)
            -> std::optional<control::cancel_outcome> {
            // The record is not waited for: the answer says "in effect".
            auto out =
                std::make_shared<std::optional<control::cancel_outcome>>();
            peer.local_cancel(job,
                              [out](control::cancel_outcome it) { *out = it; });
            return out->value_or(control::cancel_outcome{.in_effect = true});
        },
        std::move(done));
}

} // namespace rosemarytrail::test
