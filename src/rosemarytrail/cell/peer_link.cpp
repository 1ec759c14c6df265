#include <rosemarytrail/cell/peer_link.hpp>

#include <rosemarytrail/cell/node.hpp>
#include <rosemarytrail/fleet/ledger_codec.hpp>
#include <rosemarytrail/fleet/msgpack.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace rosemarytrail::cell {

namespace {

using json = nlohmann::json;

constexpr const char* call_path = "/peer/call";
constexpr const char* call_status_path = "/peer/call-status";
constexpr const char* message_path = "/peer/message";
constexpr const char* worker_calls_path = "/peer/worker-calls";
constexpr const char* worker_results_path = "/peer/worker-results";
constexpr const char* leader_query_path = "/peer/lead";
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unknown = 504;

class http_peer_link final : public peer_link
{
public:
    explicit http_peer_link(http::client& http)
        : http_{http}
    {}

    void forward(std::string_view address, const client_call& call,
                 duration timeout, callback done) override
    {
        http_.fetch({.method = "POST",
                     .url = "http://" + std::string{address} + call_path,
                     .headers = {{"Content-Type", "application/octet-stream"}},
                     .body = encode_call(call, boot_clock::now()),
                     .timeout = timeout},
                    [done = std::move(done)](const http::client_response& it) {
                        const bool complete =
                            it.transport == http::transport_result::complete &&
                            it.answer.status == status_ok;
                        done({.refused = it.transport ==
                                         http::transport_result::not_sent,
                              .answer = complete ? decode_answer(it.answer.body)
                                                 : std::nullopt});
                    });
    }

    void query_call(std::string_view address, const call_number& number,
                    duration timeout,
                    std::function<void(const call_report&)> done) override
    {
        http_.fetch(
            {.method = "POST",
             .url = "http://" + std::string{address} + call_status_path,
             .headers = {{"Content-Type", "application/octet-stream"}},
             .body = encode_call_number(number),
             .timeout = timeout},
            [timeout, done = std::move(done)](const http::client_response& it) {
                done(report_of(it, timeout));
            });
    }

    void send(std::string_view address, const peer_message& message,
              duration timeout,
              std::function<void(message_result)> done) override
    {
        post(address, message_path, encode_message(message), timeout,
             std::move(done));
    }

    void send_calls(std::string_view address, const worker_call_batch& batch,
                    duration timeout,
                    std::function<void(message_result)> done) override
    {
        post(address, worker_calls_path, encode_calls(batch), timeout,
             std::move(done));
    }

    void send_results(std::string_view address,
                      const worker_result_batch& batch, duration timeout,
                      std::function<void(message_result)> done) override
    {
        post(address, worker_results_path, encode_results(batch), timeout,
             std::move(done));
    }

    void
    query_leader(std::string_view address, duration timeout,
                 std::function<void(leader_query_result, const leader_status&)>
                     done) override
    {
        http_.fetch(
            {.method = "POST",
             .url = "http://" + std::string{address} + leader_query_path,
             .timeout = timeout},
            [timeout, done = std::move(done)](const http::client_response& it) {
                if (it.transport == http::transport_result::complete) {
                    const auto status = decode_leader_status(it.answer.body);
                    done(status ? leader_query_result::reported
                                : leader_query_result::unknown,
                         status.value_or(leader_status{}));
                    return;
                }
                // An unreachable host leaves the connection attempt unanswered
                // until the timeout, so only a quick failure means that nothing
                // listens there.
                const bool refused =
                    it.transport == http::transport_result::not_sent &&
                    it.elapsed < timeout / 2;
                done(refused ? leader_query_result::refused
                             : leader_query_result::unknown,
                     {});
            });
    }

private:
    [[nodiscard]] static call_report report_of(const http::client_response& it,
                                               duration timeout)
    {
        call_report result;
        if (it.transport == http::transport_result::complete) {
            if (it.answer.status == status_ok) {
                result = decode_call_report(it.answer.body).value_or(result);
            } else if (it.answer.status == status_not_found) {
                result.progress = call_progress::unsupported;
            }
        } else if (it.transport == http::transport_result::not_sent &&
                   it.elapsed < timeout / 2) {
            // As for a leader query, only a quick failure means that nothing
            // listens there.
            result.progress = call_progress::refused;
        }
        return result;
    }

    void post(std::string_view address, const char* path, std::string body,
              duration timeout, std::function<void(message_result)> done)
    {
        http_.fetch({.method = "POST",
                     .url = "http://" + std::string{address} + path,
                     .headers = {{"Content-Type", "application/octet-stream"}},
                     .body = std::move(body),
                     .timeout = timeout},
                    [done = std::move(done)](const http::client_response& it) {
                        if (it.transport == http::transport_result::not_sent) {
                            done(message_result::refused);
                        } else if (it.transport !=
                                       http::transport_result::complete ||
                                   it.answer.status >= 500) {
                            done(message_result::unknown);
                        } else {
                            done(it.answer.status == status_ok
                                     ? message_result::accepted
                                     : message_result::refused);
                        }
                    });
    }

    http::client& http_;
};

[[nodiscard]] http::response response_of(bool accepted)
{
    return {.status = accepted ? status_ok : status_conflict};
}

} // namespace

std::string encode_leader_status(const leader_status& status)
{
    return fleet::pack(json::array(
        {status.leading, status.epoch, to_milliseconds(status.store_age)}));
}

std::optional<leader_status> decode_leader_status(std::string_view bytes)
{
    try {
        const auto it = fleet::parse_msgpack(bytes);
        return leader_status{.leading = it.at(0),
                             .epoch = it.at(1),
                             .store_age = std::chrono::milliseconds{
                                 it.at(2).get<std::int64_t>()}};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_message(const peer_message& message)
{
    json entries = json::array();
    for (const auto& it : message.entries) {
        json value;
        if (it.value) {
            value = *it.value;
        }
        entries.push_back(json::array({it.key, std::move(value)}));
    }
    json advice_requests = json::array();
    for (const auto& it : message.advice_requests) {
        advice_requests.push_back(
            json::array({fleet::to_text(it.step), it.workers,
                         to_milliseconds(it.expected)}));
    }
    json it = json::array(
        {std::move(entries), std::move(advice_requests),
         message.send_within ? to_milliseconds(*message.send_within) : -1});
    if (!message.advice_node.empty()) {
        it.push_back(message.advice_node);
    }
    return fleet::pack(it);
}

std::optional<peer_message> decode_message(std::string_view bytes)
{
    try {
        const auto it = fleet::parse_msgpack(bytes);
        peer_message result;
        for (const auto& row : it.at(0)) {
            fleet::ledger_entry entry{.key = row.at(0).get<std::string>(),
                                      .value = std::nullopt};
            if (row.at(1).is_string()) {
                entry.value = row.at(1).get<std::string>();
            }
            result.entries.push_back(std::move(entry));
        }
        for (const auto& row : it.at(1)) {
            const auto step =
                fleet::parse_step_key(row.at(0).get_ref<const std::string&>());
            if (!step) {
                return std::nullopt;
            }
            result.advice_requests.push_back(
                {.step = *step,
                 .workers = row.at(1).get<std::vector<std::string>>(),
                 .expected =
                     std::chrono::milliseconds{row.at(2).get<std::int64_t>()}});
        }
        // Earlier builds send neither a deadline nor a node.
        if (const auto ms = it.size() > 2 ? it.at(2).get<std::int64_t>() : -1;
            ms >= 0) {
            result.send_within = std::chrono::milliseconds{ms};
        }
        if (it.size() > 3) {
            result.advice_node = it.at(3).get<std::string>();
        }
        return result;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_call(const client_call& call, time_point now)
{
    json job;
    if (call.job) {
        fleet::job_record record;
        record.spec = *call.job;
        job = fleet::encode(record);
    }
    const json it = json::array(
        {static_cast<int>(call.kind), call.host, call.path, call.key,
         std::move(job), to_milliseconds(call.deadline - now), call.min_config,
         call.number.origin, call.number.value});
    return fleet::pack(it);
}

std::optional<client_call> decode_call(std::string_view bytes, time_point now)
{
    try {
        const auto it = fleet::parse_msgpack(bytes);
        client_call result{
            .kind = static_cast<call_kind>(it.at(0).get<int>()),
            .host = it.at(1).get<std::string>(),
            .path = it.at(2).get<std::string>(),
            .key = it.at(3).get<std::string>(),
            .job = std::nullopt,
            .deadline =
                now + std::chrono::milliseconds{it.at(5).get<std::int64_t>()},
            .forwarded = true,
            .min_config = it.at(6)};
        // Older builds send no number.
        if (constexpr std::size_t numbered = 9; it.size() >= numbered) {
            result.number = {.origin = it.at(7), .value = it.at(8)};
        }
        if (it.at(4).is_string()) {
            if (auto record =
                    fleet::decode_job(it.at(4).get_ref<const std::string&>())) {
                result.job = std::move(record->spec);
            }
        }
        return result;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_answer(const client_answer& answer)
{
    const json it = json::array(
        {static_cast<int>(answer.kind), static_cast<int>(answer.state),
         answer.pending, static_cast<int>(answer.code),
         answer.retry_after ? to_milliseconds(*answer.retry_after) : -1,
         answer.config});
    return fleet::pack(it);
}

std::optional<client_answer> decode_answer(std::string_view bytes)
{
    try {
        const auto it = fleet::parse_msgpack(bytes);
        client_answer result{
            .kind = static_cast<answer_kind>(it.at(0).get<int>()),
            .state = static_cast<fleet::job_state>(it.at(1).get<int>()),
            .pending = it.at(2),
            .code = static_cast<result_code>(it.at(3).get<int>()),
            .retry_after = std::nullopt,
            .config = it.at(5)};
        if (const auto ms = it.at(4).get<std::int64_t>(); ms >= 0) {
            result.retry_after = std::chrono::milliseconds{ms};
        }
        return result;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_call_number(const call_number& number)
{
    return fleet::pack(json::array({number.origin, number.value}));
}

std::optional<call_number> decode_call_number(std::string_view bytes)
{
    try {
        const auto it = fleet::parse_msgpack(bytes);
        return call_number{.origin = it.at(0), .value = it.at(1)};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_call_report(const call_report& report)
{
    return fleet::pack(json::array(
        {static_cast<int>(report.progress),
         report.answer ? encode_answer(*report.answer) : std::string{}}));
}

std::optional<call_report> decode_call_report(std::string_view bytes)
{
    try {
        const auto it = fleet::parse_msgpack(bytes);
        call_report result{.progress =
                               static_cast<call_progress>(it.at(0).get<int>()),
                           .answer = std::nullopt};
        if (result.progress == call_progress::answered) {
            result.answer =
                decode_answer(it.at(1).get_ref<const std::string&>());
            return result.answer ? std::optional{result} : std::nullopt;
        }
        return result;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::unique_ptr<peer_link> make_peer_link(http::client& http)
{
    return std::make_unique<http_peer_link>(http);
}

peer_api::peer_api(http::event_loop& loop, node& target)
    : loop_{loop}
    , target_{target}
{}

std::optional<http::response> peer_api::on_head(const http::request& head)
{
    if (head.method != "POST" ||
        (head.path != call_path && head.path != message_path &&
         head.path != worker_calls_path && head.path != worker_results_path &&
         head.path != leader_query_path && head.path != call_status_path)) {
        return http::response{.status = status_not_found};
    }
    return std::nullopt;
}

void peer_api::on_request(std::shared_ptr<http::exchange> it)
{
    if (it->incoming().path == message_path) {
        on_message(std::move(it));
        return;
    }
    if (it->incoming().path == leader_query_path) {
        on_leader_query(std::move(it));
        return;
    }
    if (it->incoming().path == call_status_path) {
        on_call_query(std::move(it));
        return;
    }
    if (it->incoming().path == worker_calls_path) {
        on_worker_calls(std::move(it));
        return;
    }
    if (it->incoming().path == worker_results_path) {
        on_worker_results(std::move(it));
        return;
    }
    auto call = decode_call(it->incoming().body, boot_clock::now());
    if (!call) {
        it->respond({.status = status_bad_request});
        return;
    }
    loop_.post([this, it = std::move(it), call = std::move(*call)]() mutable {
        target_.serve(std::move(call),
                      [it = std::move(it)](const client_answer& done) {
                          it->respond({.body = encode_answer(done)});
                      });
    });
}

void peer_api::on_leader_query(std::shared_ptr<http::exchange> it)
{
    loop_.post([this, it = std::move(it)] {
        it->respond({.body = encode_leader_status(
                         target_.leadership_status(boot_clock::now()))});
    });
}

void peer_api::on_call_query(std::shared_ptr<http::exchange> it)
{
    auto number = decode_call_number(it->incoming().body);
    if (!number) {
        it->respond({.status = status_bad_request});
        return;
    }
    loop_.post([this, it = std::move(it), number = std::move(*number)] {
        it->respond({.body = encode_call_report(
                         target_.call_status(number, boot_clock::now()))});
    });
}

void peer_api::on_worker_calls(std::shared_ptr<http::exchange> it)
{
    auto batch = decode_calls(it->incoming().body);
    if (!batch) {
        it->respond({.status = status_bad_request});
        return;
    }
    loop_.post([this, it = std::move(it), batch = std::move(*batch)] {
        it->respond(response_of(target_.relay(batch)));
    });
}

void peer_api::on_worker_results(std::shared_ptr<http::exchange> it)
{
    auto batch = decode_results(it->incoming().body);
    if (!batch) {
        it->respond({.status = status_bad_request});
        return;
    }
    loop_.post([this, it = std::move(it), batch = std::move(*batch)]() mutable {
        it->respond(response_of(target_.receive(std::move(batch))));
    });
}

void peer_api::on_message(std::shared_ptr<http::exchange> it)
{
    auto message = decode_message(it->incoming().body);
    if (!message) {
        it->respond({.status = status_bad_request});
        return;
    }
    loop_.post([this, it = std::move(it),
                message = std::move(*message)]() mutable {
        target_.receive(std::move(message), [it = std::move(it)](
                                                message_result done) {
            it->respond({.status = done == message_result::accepted ? status_ok
                                   : done == message_result::refused
                                       ? status_conflict
                                       : status_unknown});
        });
    });
}

} // namespace rosemarytrail::cell
