#include <rosemarytrail/standin/log_service.hpp>

#include <rosemarytrail/backends/log_wire.hpp>
#include <rosemarytrail/standin/control_page.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace rosemarytrail::standin {

namespace {

using exchange_pointer = std::shared_ptr<http::exchange>;

constexpr std::string_view streams_path = "/v1/streams/";
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_over_cap = 429;
constexpr int status_unavailable = 503;

template <typename Number>
[[nodiscard]] Number parameter(const http::request& incoming,
                               std::string_view name, Number fallback)
{
    const auto text = http::find_parameter(incoming.query, name);
    if (!text) {
        return fallback;
    }
    Number result{};
    const auto* end = text->data() + text->size();
    const auto [last, ec] = std::from_chars(text->data(), end, result);
    return ec == std::errc{} && last == end ? result : fallback;
}

[[nodiscard]] http::response append_page(const backends::append_outcome& it)
{
    if (it.result == backends::append_result::appended) {
        return json_answer(200,
                           "{\"offset\":" + std::to_string(it.offset) + "}");
    }
    if (!it.retry_after) {
        return json_answer(status_unavailable, "{}");
    }
    auto result = json_answer(status_over_cap, "{}");
    const auto ms = std::max<std::int64_t>(to_milliseconds(*it.retry_after), 1);
    result.headers.push_back({"Retry-After-Ms", std::to_string(ms)});
    return result;
}

[[nodiscard]] http::response read_page(const backends::read_outcome& it)
{
    http::response result;
    if (it.result == backends::read_result::failed) {
        result.status = status_unavailable;
        return result;
    }
    result.headers = {{"X-First-Offset", std::to_string(it.first_offset)},
                      {"X-Next-Offset", std::to_string(it.next_offset)}};
    if (it.result == backends::read_result::trimmed) {
        result.status = status_gone;
        return result;
    }
    result.body = backends::encode_log_entries(it.entries);
    return result;
}

} // namespace

log_service::log_service(const log_faults& faults)
    : store_{faults}
{}

std::optional<http::response>
log_service::on_head(const http::request& /*head*/)
{
    return std::nullopt;
}

void log_service::on_request(exchange_pointer it)
{
    const auto& incoming = it->incoming();
    const std::lock_guard guard{lock_};
    if (auto page = answer_common(incoming, incoming.path, store_)) {
        it->respond(std::move(*page));
        return;
    }
    if (!incoming.path.starts_with(streams_path)) {
        it->respond(json_answer(status_not_found, "{}"));
        return;
    }
    const auto stream = incoming.path.substr(streams_path.size());
    if (incoming.method == "POST") {
        append(stream, it);
    } else {
        read(stream, it);
    }
}

void log_service::append(const std::string& stream, const exchange_pointer& it)
{
    const auto result =
        store_.append(stream, it->incoming().body, boot_clock::now());
    if (result.outcome.result == backends::append_result::appended) {
        wake_reads(stream);
    }
    if (result.lost) {
        it->cut_off({}, 0);
        return;
    }
    answer(it, append_page(result.outcome));
}

void log_service::read(const std::string& stream, const exchange_pointer& it)
{
    const auto& incoming = it->incoming();
    backends::read_options options{.stream = stream};
    options.from = parameter(incoming, "from", options.from);
    options.bytes = parameter(incoming, "bytes", options.bytes);
    options.wait = std::chrono::milliseconds{
        parameter<std::uint32_t>(incoming, "wait_ms", 0)};
    const bool at_tail = options.from >= store_.next_offset(stream);
    if (!at_tail || options.wait == duration::zero() ||
        store_.faults().mode == fault_mode::down) {
        answer_read(options, it);
        return;
    }
    waiting_.push_back({.options = options, .exchange = it});
    delays_.run_after(options.wait, [this, it] { end_wait(it); });
}

void log_service::wake_reads(const std::string& stream)
{
    const auto woken = std::stable_partition(
        waiting_.begin(), waiting_.end(),
        [&](const auto& it) { return it.options.stream != stream; });
    for (auto it = woken; it != waiting_.end(); ++it) {
        answer_read(it->options, it->exchange);
    }
    waiting_.erase(woken, waiting_.end());
}

void log_service::end_wait(const exchange_pointer& it)
{
    const std::lock_guard guard{lock_};
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [&](const auto& read) { return read.exchange == it; });
    if (found == waiting_.end()) {
        return;
    }
    answer_read(found->options, it);
    waiting_.erase(found);
}

void log_service::answer_read(const backends::read_options& options,
                              const exchange_pointer& it)
{
    answer(it, read_page(store_.read(options)));
}

void log_service::answer(const exchange_pointer& it, http::response answer)
{
    const auto& faults = store_.faults();
    const bool slow = faults.mode == fault_mode::slow;
    delays_.run_after(slow ? faults.slow : duration::zero(),
                      [it, answer = std::move(answer)]() mutable {
                          it->respond(std::move(answer));
                      });
}

} // namespace rosemarytrail::standin
