#include <test/lib/model_cell.hpp>

#include <algorithm>
#include <thread>
#include <utility>

namespace rosemarytrail::test {

using namespace std::chrono_literals;

namespace {

/** @return Clock of all workers, in milliseconds. */
[[nodiscard]] std::int64_t clock_ms()
{
    return to_milliseconds(boot_clock::now().time_since_epoch());
}

} // namespace

void stepped_loop::fetch(http::client_request /*outgoing*/, callback done)
{
    post([done = std::move(done)] { done({}); });
}

void stepped_loop::post(task work)
{
    post_at(time_point{}, std::move(work));
}

void stepped_loop::post_at(time_point at, task work)
{
    due_.emplace(at, std::move(work));
}

bool stepped_loop::run_until(const std::function<bool()>& done, duration most)
{
    const auto end = boot_clock::now() + most;
    while (!done()) {
        const auto now = boot_clock::now();
        if (now > end) {
            return false;
        }
        if (due_.empty() || due_.begin()->first > now) {
            std::this_thread::sleep_for(500us);
            continue;
        }
        const auto work = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        work();
    }
    return true;
}

void model_store::answer(std::function<void()> with)
{
    loop_.post_at(boot_clock::now() + answer_time, std::move(with));
}

void model_store::put(cell::feed which, std::string key, std::string value)
{
    records_[which].push_back(
        {.key = std::move(key), .value = std::move(value)});
}

void model_store::release()
{
    delayed_key.reset();
    for (const auto& it : std::exchange(delayed_, {})) {
        it();
    }
}

void model_store::append(cell::append_request request,
                         std::function<void(cell::append_answer)> done)
{
    if (request.writer && (ignores_leader || refuses_leader)) {
        for (const auto& it : request.entries) {
            ineffective_keys.insert(it.key);
        }
    }
    if (ignores_leader && request.writer) {
        loop_.post_at(boot_clock::now() + request.timeout,
                      [done = std::move(done)] { done({}); });
        return;
    }
    if (down || refuses_appends || (refuses_leader && request.writer)) {
        answer([done = std::move(done)] {
            done({.result = cell::store_result::refused,
                  .expected_sequence = std::nullopt});
        });
        return;
    }
    if (!rejected_key.empty() &&
        std::ranges::any_of(request.entries, [this](const auto& it) {
            return it.key == rejected_key;
        })) {
        answer([done = std::move(done)] {
            done({.result = cell::store_result::rejected,
                  .expected_sequence = std::nullopt});
        });
        return;
    }
    const bool is_claim = request.writer && request.writer->sequence == 0;
    if (is_claim && claims_to_delay > 0) {
        --claims_to_delay;
        const auto times_out = boot_clock::now() + request.timeout;
        loop_.post_at(times_out, [done = std::move(done)] { done({}); });
        loop_.post_at(times_out + claim_delay,
                      [this, request = std::move(request)] {
                          append(request, [](const cell::append_answer&) {});
                      });
        return;
    }
    const auto delayed = [&](const auto& it) {
        return it.key == delayed_key;
    };
    if (std::ranges::any_of(request.entries, delayed)) {
        delayed_.push_back([this, request = std::move(request),
                            done = std::move(done)] { append(request, done); });
        return;
    }
    auto& ledger = records_[request.which];
    if (has_other_writers) {
        ledger.push_back(
            {.key = fleet::encode_key(
                 {.kind = fleet::entry_kind::cancellation, .step = {.job = 1}}),
             .value = "1"});
    }
    cell::append_answer result{.result = cell::store_result::done,
                               .expected_sequence = std::nullopt};
    bool repeat = false;
    if (const auto& it = request.writer) {
        if (it->epoch < epoch_) {
            result.result = cell::store_result::fenced;
        } else if (it->epoch == epoch_) {
            repeat = it->sequence <= sequence_;
        }
    }
    if (result.result == cell::store_result::done && !repeat) {
        if (request.writer) {
            epoch_ = request.writer->epoch;
            sequence_ = request.writer->sequence;
        }
        for (auto& it : request.entries) {
            ++appended[it.key];
            ledger.push_back({.key = it.key, .value = it.value});
        }
    }
    if (request.writer && leader_responses_to_lose > 0) {
        --leader_responses_to_lose;
        loop_.post_at(boot_clock::now() + request.timeout,
                      [done = std::move(done)] { done({}); });
        return;
    }
    answer([done = std::move(done), result] { done(result); });
}

void model_store::read(const cell::read_request& request,
                       std::function<void(cell::feed_page)> done)
{
    ++reads[request.which];
    answer_read(request, std::move(done));
}

void model_store::answer_read(cell::read_request request,
                              std::function<void(cell::feed_page)> done)
{
    if (down) {
        answer([done = std::move(done)] {
            done({.result = cell::store_result::refused, .records = {}});
        });
        return;
    }
    constexpr duration look_again = 10ms;
    const auto& records = records_[request.which];
    const auto from = request.from;
    const auto n = static_cast<std::int64_t>(records.size());
    if (from >= n && request.wait > look_again) {
        request.wait -= look_again;
        loop_.post_at(boot_clock::now() + look_again,
                      [this, request, done = std::move(done)]() mutable {
                          answer_read(request, std::move(done));
                      });
        return;
    }
    cell::feed_page page{
        .result = cell::store_result::done,
        .records = {records.begin() + std::min(from, n), records.end()},
        .next_offset = n,
        .at_end = true};
    answer([done = std::move(done), page = std::move(page)] { done(page); });
}

void model_store::newest(cell::feed which, std::string_view /*after*/,
                         std::function<void(cell::newest_page)> done)
{
    if (withholds_ledger && which == cell::feed::ledger) {
        return;
    }
    const auto& records = records_[which];
    answer([done = std::move(done),
            page = cell::newest_page{.result = cell::store_result::done,
                                     .records = records,
                                     .end_offset = static_cast<std::int64_t>(
                                         records.size())}] { done(page); });
}

void model_store::join(cell::node_group group, std::string_view member,
                       std::uint64_t /*generation*/, duration /*lifetime*/,
                       std::function<void(cell::membership)> done)
{
    if (down) {
        answer([done = std::move(done)] {
            done({.result = cell::store_result::refused});
        });
        return;
    }
    auto& joined = group == cell::node_group::members ? names : candidates;
    if (std::ranges::find(joined, member) == joined.end()) {
        joined.emplace_back(member);
    }
    answer([done = std::move(done),
            elected = elects_all || joined.front() == member,
            listed = !unlisted.contains(std::string{member})] {
        done({.result = cell::store_result::done,
              .generation = 1,
              .elected = elected,
              .listed = listed});
    });
}

void model_store::members(
    std::function<void(std::optional<std::vector<std::string>>)> done)
{
    if (down) {
        answer([done = std::move(done)] { done(std::nullopt); });
        return;
    }
    answer([this, done = std::move(done)] {
        auto sorted = names;
        std::erase_if(sorted, [this](const std::string& it) {
            return unlisted.contains(it);
        });
        std::ranges::sort(sorted);
        done(sorted);
    });
}

void model_store::leave(cell::node_group group, std::string_view member,
                        std::function<void(cell::store_result)> done)
{
    std::erase(group == cell::node_group::members ? names : candidates, member);
    answer([done = std::move(done)] { done(cell::store_result::done); });
}

void model_workers::start(const fleet::start_request& request,
                          std::function<void(fleet::start_response)> done)
{
    starts.push_back(request);
    loop_.post([result = answer, done = std::move(done)] {
        done({.result = result, .clock_ms = clock_ms()});
    });
}

void model_workers::stop(const fleet::stop_request& /*request*/,
                         std::function<void(bool)> done)
{
    loop_.post([done = std::move(done)] { done(true); });
}

void model_workers::throttle(const fleet::throttle_request& /*request*/,
                             std::function<void(bool)> done)
{
    loop_.post([done = std::move(done)] { done(true); });
}

void model_workers::poll(
    const fleet::poll_request& request,
    std::function<void(fleet::poll_result, fleet::poll_response)> done)
{
    polls.push_back(request);
    fleet::poll_response response{
        .clock_ms = 0, .incarnation = std::nullopt, .running = {}, .ended = {}};
    for (const auto& it : starts) {
        if (it.worker == request.worker) {
            response.running.push_back({.task = it.task, .run = it.run});
        }
    }
    loop_.post_at(
        boot_clock::now() + std::min<duration>(request.wait, 50ms),
        [done = std::move(done), response = std::move(response)]() mutable {
            response.clock_ms = clock_ms();
            done(fleet::poll_result::answered, response);
        });
}

void model_advice::advise(const fleet::step_key& step,
                          std::span<const std::string> workers,
                          duration /*timeout*/,
                          std::function<void(cell::advice_answer)> done)
{
    requests.push_back(step);
    cell::advice_answer result{.answered = true, .grant = {.valid_ms = 2500}};
    for (const auto& it : workers) {
        result.grant.rows.push_back({.worker = it, .ticket = "t"});
    }
    loop_.post_at(
        boot_clock::now() + 5ms,
        [done = std::move(done), result = std::move(result)] { done(result); });
}

void model_peers::forward(std::string_view address,
                          const cell::client_call& call, duration /*timeout*/,
                          callback done)
{
    const auto it = nodes.find(std::string{address});
    if (it == nodes.end()) {
        loop_.post([done = std::move(done)] {
            done({.refused = true, .answer = std::nullopt});
        });
        return;
    }
    ++forwarded;
    auto handed = call;
    handed.forwarded = true;
    if (responses_to_lose > 0) {
        --responses_to_lose;
        unanswered_.push_back(std::move(done));
        silent_.emplace(address);
        it->second->serve(std::move(handed), [](const cell::client_answer&) {});
        return;
    }
    it->second->serve(
        std::move(handed),
        [done = std::move(done)](const cell::client_answer& answer) {
            done({.refused = false, .answer = answer});
        });
}

void model_peers::query_call(std::string_view address,
                             const cell::call_number& number,
                             duration /*timeout*/,
                             std::function<void(const cell::call_report&)> done)
{
    const auto it = nodes.find(std::string{address});
    cell::call_report report{.progress = cell::call_progress::refused,
                             .answer = std::nullopt};
    if (without_status.contains(address)) {
        report.progress = cell::call_progress::unsupported;
    } else if (silent_.contains(address)) {
        unanswered_queries_.push_back(std::move(done));
        return;
    } else if (it != nodes.end()) {
        report = it->second->call_status(number, boot_clock::now());
    }
    loop_.post([done = std::move(done), report] { done(report); });
}

void model_peers::time_out()
{
    for (auto& it : std::exchange(unanswered_, {})) {
        loop_.post([done = std::move(it)] { done({}); });
    }
    for (auto& it : std::exchange(unanswered_queries_, {})) {
        loop_.post([done = std::move(it)] { done({}); });
    }
}

void model_peers::send(std::string_view address,
                       const cell::peer_message& message, duration /*timeout*/,
                       std::function<void(cell::message_result)> done)
{
    advice_requests[std::string{address}] += message.advice_requests.size();
    const auto it = nodes.find(std::string{address});
    if (it == nodes.end()) {
        loop_.post(
            [done = std::move(done)] { done(cell::message_result::refused); });
        return;
    }
    loop_.post([to = it->second, message, done = std::move(done)] {
        to->receive(message, done);
    });
}

void model_peers::deliver(std::string_view address,
                          std::function<void(cell::message_result)> done,
                          std::function<bool(cell::node&)> accept)
{
    const auto it = nodes.find(std::string{address});
    loop_.post([to = it == nodes.end() ? nullptr : it->second,
                done = std::move(done), accept = std::move(accept)] {
        done(to != nullptr && accept(*to) ? cell::message_result::accepted
                                          : cell::message_result::refused);
    });
}

void model_peers::send_calls(std::string_view address,
                             const cell::worker_call_batch& batch,
                             duration /*timeout*/,
                             std::function<void(cell::message_result)> done)
{
    deliver(address, std::move(done),
            [batch](cell::node& to) { return to.relay(batch); });
}

void model_peers::send_results(std::string_view address,
                               const cell::worker_result_batch& batch,
                               duration /*timeout*/,
                               std::function<void(cell::message_result)> done)
{
    deliver(address, std::move(done),
            [batch](cell::node& to) { return to.receive(batch); });
}

void model_peers::query_leader(
    std::string_view address, duration /*timeout*/,
    std::function<void(cell::leader_query_result, const cell::leader_status&)>
        done)
{
    const auto it = nodes.find(std::string{address});
    loop_.post([to = it == nodes.end() ? nullptr : it->second,
                done = std::move(done)] {
        if (to == nullptr) {
            done(cell::leader_query_result::refused, {});
        } else {
            done(cell::leader_query_result::reported,
                 to->leadership_status(boot_clock::now()));
        }
    });
}

std::optional<fleet::cell_config>
model_formats::configuration(const cell::feed_record& record) const
{
    if (record.key.starts_with("e/")) {
        return std::nullopt;
    }
    fleet::cell_config result{.version = 1};
    result.queues.push_back(
        {.host = "h",
         .path_prefix = "/q/",
         .is_public = true,
         .policy = {.name = "q", .service = "s", .advice = advice}});
    if (account_weight > 0) {
        result.accounts.emplace(
            "a", fleet::client_account{.name = "a", .weight = account_weight});
        result.account_of_key.emplace("k", "a");
    }
    return result;
}

std::optional<fleet::zone_evacuation>
model_formats::evacuation(const cell::feed_record& record) const
{
    if (!record.key.starts_with("e/")) {
        return std::nullopt;
    }
    const auto value = record.value.value_or("off");
    return fleet::zone_evacuation{
        .zone = record.key.substr(2),
        .state = value == "on"    ? fleet::evacuation_state::requested
                 : value == "off" ? fleet::evacuation_state::withdrawn
                                  : fleet::evacuation_state::malformed};
}

std::optional<fleet::worker_vm>
model_formats::worker(const cell::feed_record& record, std::string& why) const
{
    why.clear();
    return fleet::worker_vm{.id = record.key,
                            .service = "s",
                            .address = record.key + ":1",
                            .zone = "z",
                            .rack = {},
                            .labels = {},
                            .capacity = {.cpu_millis = 8000, .memory_mb = 8000},
                            .incarnation = 1};
}

cell::client_call submission_of(std::uint64_t id, time_point deadline)
{
    cell::client_call call{.kind = cell::call_kind::submit,
                           .host = "h",
                           .path = "/q/" + fleet::to_text(id),
                           .key = {},
                           .job = fleet::job_spec{},
                           .deadline = deadline};
    call.job->steps = {
        {.tasks = 1, .demand = {.cpu_millis = 1000, .memory_mb = 1}}};
    return call;
}

} // namespace rosemarytrail::test
