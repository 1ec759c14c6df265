#include <rosemarytrail/cell/worker_batch.hpp>

#include <rosemarytrail/fleet/msgpack.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace rosemarytrail::cell {

namespace {

using fleet::pack;
using fleet::unpack;
using json = nlohmann::json;

/** @brief Kind of a call or of a result in the encoding. */
enum class call_type : std::uint8_t
{
    start,
    stop,
    throttle,
    poll
};

template <typename... Readers>
struct overloaded : Readers...
{
    using Readers::operator()...;
};
template <typename... Readers>
overloaded(Readers...) -> overloaded<Readers...>;

[[nodiscard]] json pack_task(const fleet::task_key& it)
{
    return {it.step.job, it.step.occurrence, it.step.step, it.index};
}

[[nodiscard]] fleet::task_key read_task(const json& it)
{
    return {.step = {.job = it.at(0), .occurrence = it.at(1), .step = it.at(2)},
            .index = it.at(3)};
}

/** @brief Collects the payloads of the starts in a batch, each once. */
class payload_table
{
public:
    [[nodiscard]] std::size_t add(const std::shared_ptr<const std::string>& it)
    {
        const auto [found, added] = known_.try_emplace(it.get(), rows_.size());
        if (added) {
            rows_.push_back(it ? *it : std::string{});
        }
        return found->second;
    }

    [[nodiscard]] json take() { return std::move(rows_); }

private:
    std::map<const std::string*, std::size_t> known_;
    json rows_ = json::array();
};

[[nodiscard]] json pack_call(const worker_call& call, payload_table& payloads)
{
    const auto head = [&](call_type type, const fleet::worker_address& worker) {
        return json::array(
            {call.id, static_cast<int>(type), worker.id, worker.address});
    };
    return std::visit(
        overloaded{
            [&](const fleet::start_request& it) {
                auto row = head(call_type::start, it.worker);
                row.insert(row.end(),
                           {pack_task(it.task), it.run,
                            payloads.add(it.payload), it.lease_end_ms, it.epoch,
                            it.checkpoint, it.ticket, it.generation});
                return row;
            },
            [&](const fleet::stop_request& it) {
                auto row = head(call_type::stop, it.worker);
                row.insert(row.end(), {pack_task(it.task), it.run, it.epoch,
                                       it.generation});
                return row;
            },
            [&](const fleet::throttle_request& it) {
                auto row = head(call_type::throttle, it.worker);
                row.insert(row.end(), {pack_task(it.task), it.run, it.percent,
                                       it.epoch, it.generation});
                return row;
            },
            [&](const fleet::poll_request& it) {
                auto row = head(call_type::poll, it.worker);
                row.insert(row.end(),
                           {it.epoch, it.acknowledged,
                            it.lease_end_ms ? json(*it.lease_end_ms) : json(),
                            to_milliseconds(it.wait), it.generation});
                return row;
            }},
        call.request);
}

[[nodiscard]] worker_call
read_call(const json& row,
          const std::vector<std::shared_ptr<const std::string>>& payloads)
{
    worker_call result{.id = row.at(0), .request = {}};
    const fleet::worker_address worker{.id = row.at(2).get<std::string>(),
                                       .address = row.at(3).get<std::string>()};
    switch (static_cast<call_type>(row.at(1).get<int>())) {
    case call_type::start:
        result.request =
            fleet::start_request{.worker = worker,
                                 .task = read_task(row.at(4)),
                                 .run = row.at(5),
                                 .payload = payloads.at(row.at(6)),
                                 .lease_end_ms = row.at(7),
                                 .epoch = row.at(8),
                                 .generation = row.at(11),
                                 .checkpoint = row.at(9).get<std::string>(),
                                 .ticket = row.at(10).get<std::string>()};
        break;
    case call_type::stop:
        result.request = fleet::stop_request{.worker = worker,
                                             .task = read_task(row.at(4)),
                                             .run = row.at(5),
                                             .epoch = row.at(6),
                                             .generation = row.at(7)};
        break;
    case call_type::throttle:
        result.request = fleet::throttle_request{.worker = worker,
                                                 .task = read_task(row.at(4)),
                                                 .run = row.at(5),
                                                 .percent = row.at(6),
                                                 .epoch = row.at(7),
                                                 .generation = row.at(8)};
        break;
    default:
        fleet::poll_request poll{
            .worker = worker,
            .epoch = row.at(4),
            .generation = row.at(8),
            .acknowledged = row.at(5),
            .lease_end_ms = std::nullopt,
            .wait = std::chrono::milliseconds{row.at(7).get<std::int64_t>()}};
        if (row.at(6).is_number()) {
            poll.lease_end_ms = row.at(6).get<std::int64_t>();
        }
        result.request = std::move(poll);
        break;
    }
    return result;
}

[[nodiscard]] json pack_poll_response(const fleet::poll_response& it)
{
    json running = json::array();
    for (const auto& row : it.running) {
        running.push_back(
            json::array({pack_task(row.task), row.run, row.checkpoint,
                         row.percent, row.usage}));
    }
    json ended = json::array();
    for (const auto& row : it.ended) {
        ended.push_back(
            json::array({row.number, pack_task(row.task), row.run,
                         static_cast<int>(row.how), row.checkpoint}));
    }
    return json::array(
        {it.clock_ms, it.incarnation ? json(*it.incarnation) : json(),
         std::move(running), std::move(ended), it.ended_truncated});
}

[[nodiscard]] fleet::poll_response read_poll_response(const json& it)
{
    fleet::poll_response result{.clock_ms = it.at(0),
                                .incarnation = std::nullopt,
                                .running = {},
                                .ended = {},
                                .ended_truncated = it.at(4)};
    if (it.at(1).is_number()) {
        result.incarnation = it.at(1).get<std::int64_t>();
    }
    for (const auto& row : it.at(2)) {
        result.running.push_back({.task = read_task(row.at(0)),
                                  .run = row.at(1),
                                  .checkpoint = row.at(2).get<std::string>(),
                                  .percent = row.at(3),
                                  .usage = row.at(4)});
    }
    for (const auto& row : it.at(3)) {
        result.ended.push_back(
            {.number = row.at(0),
             .task = read_task(row.at(1)),
             .run = row.at(2),
             .how = static_cast<fleet::run_end>(row.at(3).get<int>()),
             .checkpoint = row.at(4).get<std::string>()});
    }
    return result;
}

[[nodiscard]] json pack_result(const worker_call_result& result)
{
    return std::visit(
        overloaded{[&](const fleet::start_response& it) {
                       return json::array(
                           {result.id, static_cast<int>(call_type::start),
                            static_cast<int>(it.result),
                            it.clock_ms ? json(*it.clock_ms) : json()});
                   },
                   [&](bool it) {
                       return json::array(
                           {result.id, static_cast<int>(call_type::stop), it});
                   },
                   [&](const poll_answer& it) {
                       return json::array({result.id,
                                           static_cast<int>(call_type::poll),
                                           static_cast<int>(it.result),
                                           pack_poll_response(it.response)});
                   }},
        result.result);
}

[[nodiscard]] worker_call_result read_result(const json& row)
{
    worker_call_result result{.id = row.at(0), .result = false};
    switch (static_cast<call_type>(row.at(1).get<int>())) {
    case call_type::start: {
        fleet::start_response start{
            .result = static_cast<fleet::start_result>(row.at(2).get<int>()),
            .clock_ms = std::nullopt};
        if (row.at(3).is_number()) {
            start.clock_ms = row.at(3).get<std::int64_t>();
        }
        result.result = start;
        break;
    }
    case call_type::poll:
        result.result = poll_answer{
            .result = static_cast<fleet::poll_result>(row.at(2).get<int>()),
            .response = read_poll_response(row.at(3))};
        break;
    default:
        result.result = row.at(2).get<bool>();
        break;
    }
    return result;
}

} // namespace

void make_call(worker_port& workers, const worker_call& call,
               const std::function<void(worker_call_result)>& done)
{
    const auto finish = [id = call.id, done](auto result) {
        done({.id = id, .result = std::move(result)});
    };
    std::visit(
        overloaded{
            [&](const fleet::start_request& it) { workers.start(it, finish); },
            [&](const fleet::stop_request& it) { workers.stop(it, finish); },
            [&](const fleet::throttle_request& it) {
                workers.throttle(it, finish);
            },
            [&](const fleet::poll_request& it) {
                workers.poll(it, [finish](fleet::poll_result result,
                                          fleet::poll_response response) {
                    finish(poll_answer{.result = result,
                                       .response = std::move(response)});
                });
            }},
        call.request);
}

std::string encode_calls(const worker_call_batch& batch)
{
    payload_table payloads;
    json rows = json::array();
    for (const auto& it : batch.calls) {
        rows.push_back(pack_call(*it, payloads));
    }
    return pack(json::array(
        {batch.relay, batch.leader, payloads.take(), std::move(rows)}));
}

std::optional<worker_call_batch> decode_calls(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        worker_call_batch result{.relay = it.at(0).get<std::string>(),
                                 .leader = it.at(1).get<std::string>(),
                                 .calls = {}};
        std::vector<std::shared_ptr<const std::string>> payloads;
        for (const auto& row : it.at(2)) {
            payloads.push_back(
                std::make_shared<const std::string>(row.get<std::string>()));
        }
        for (const auto& row : it.at(3)) {
            result.calls.push_back(
                std::make_shared<const worker_call>(read_call(row, payloads)));
        }
        return result;
    });
}

std::string encode_results(const worker_result_batch& batch)
{
    json rows = json::array();
    for (const auto& it : batch.results) {
        rows.push_back(pack_result(it));
    }
    return pack(json::array({batch.leader, std::move(rows)}));
}

std::optional<worker_result_batch> decode_results(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        worker_result_batch result{.leader = it.at(0).get<std::string>(),
                                   .results = {}};
        for (const auto& row : it.at(1)) {
            result.results.push_back(read_result(row));
        }
        return result;
    });
}

} // namespace rosemarytrail::cell
