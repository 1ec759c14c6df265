#include <rosemarytrail/backends/http_log_client.hpp>

#include <rosemarytrail/backends/json_fields.hpp>
#include <rosemarytrail/backends/log_wire.hpp>

#include <charconv>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace rosemarytrail::backends {

namespace {

using http::client_response;
using http::transport_result;

constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
/** @brief Allowance for frame headers in addition to the requested payload. */
constexpr std::size_t frame_overhead_bytes = std::size_t{16} << 20U;

template <typename Number>
[[nodiscard]] std::optional<Number> read_header(const http::response& answer,
                                                std::string_view name)
{
    const auto text = http::find_header(answer.headers, name);
    if (!text) {
        return std::nullopt;
    }
    Number result{};
    const auto* end = text->data() + text->size();
    const auto [last, ec] = std::from_chars(text->data(), end, result);
    if (ec != std::errc{} || last != end) {
        return std::nullopt;
    }
    return result;
}

[[nodiscard]] std::optional<duration> retry_after(const http::response& answer)
{
    if (const auto ms = read_header<std::uint32_t>(answer, "Retry-After-Ms")) {
        return std::chrono::milliseconds{*ms};
    }
    if (const auto s = read_header<std::uint32_t>(answer, "Retry-After")) {
        return std::chrono::seconds{*s};
    }
    return std::nullopt;
}

[[nodiscard]] bool is_refusal(int status) noexcept
{
    constexpr int first_refusal = 400;
    constexpr int first_failure = 500;
    return status == status_unavailable ||
           (status >= first_refusal && status < first_failure);
}

[[nodiscard]] append_outcome read_append(const client_response& it)
{
    if (it.transport == transport_result::not_sent) {
        return {.result = append_result::refused};
    }
    if (it.transport != transport_result::complete) {
        return {};
    }
    if (is_refusal(it.answer.status)) {
        return {.result = append_result::refused,
                .retry_after = retry_after(it.answer)};
    }
    if (it.answer.status != status_ok) {
        return {};
    }
    const auto value = parse_json(it.answer.body);
    append_outcome result{.result = append_result::appended};
    field_reader fields{value};
    fields.read("offset", result.offset);
    if (!fields.good() || fields.find("offset") == nullptr) {
        return {};
    }
    return result;
}

[[nodiscard]] read_outcome read_entries(const client_response& it,
                                        std::uint64_t from)
{
    const int status = it.answer.status;
    if (it.transport != transport_result::complete ||
        (status != status_ok && status != status_gone)) {
        return {};
    }
    const auto first = read_header<std::uint64_t>(it.answer, "X-First-Offset");
    const auto next = read_header<std::uint64_t>(it.answer, "X-Next-Offset");
    if (!first || !next) {
        return {};
    }
    if (status == status_gone) {
        return {.result = read_result::trimmed,
                .first_offset = *first,
                .next_offset = *next};
    }
    auto entries = decode_log_entries(it.answer.body, from);
    if (!entries || from + entries->size() > *next) {
        return {};
    }
    return {.result = read_result::read,
            .entries = std::move(*entries),
            .first_offset = *first,
            .next_offset = *next};
}

/** @brief HTTP implementation of log_client. */
class http_log_client final : public log_client
{
public:
    http_log_client(http::client& client, std::string base_url,
                    const http_log_options& options)
        : client_{client}
        , base_url_{std::move(base_url)}
        , options_{options}
    {}

    void append(std::string stream, std::string payload,
                std::function<void(append_outcome)> done) override
    {
        http::client_request out{.method = "POST",
                                 .url = url_of(stream),
                                 .timeout = options_.timeout};
        out.headers = {{"Content-Type", "application/octet-stream"}};
        out.body = std::move(payload);
        client_.fetch(std::move(out),
                      [done = std::move(done)](const client_response& it) {
                          done(read_append(it));
                      });
    }

    void read(read_options options,
              std::function<void(read_outcome)> done) override
    {
        const auto from = options.from;
        http::client_request out{
            .url = url_of(options.stream) + "?from=" + std::to_string(from) +
                   "&bytes=" + std::to_string(options.bytes) +
                   "&wait_ms=" + std::to_string(to_milliseconds(options.wait)),
            .timeout = options_.timeout + options.wait,
            .answer_bytes = options.bytes + frame_overhead_bytes};
        client_.fetch(std::move(out), [from, done = std::move(done)](
                                          const client_response& it) {
            done(read_entries(it, from));
        });
    }

private:
    [[nodiscard]] std::string url_of(const std::string& stream) const
    {
        return base_url_ + "/v1/streams/" + stream;
    }

    http::client& client_;
    std::string base_url_;
    http_log_options options_;
};

} // namespace

std::unique_ptr<log_client>
make_http_log_client(http::client& client, std::string base_url,
                     const http_log_options& options)
{
    return std::make_unique<http_log_client>(client, std::move(base_url),
                                             options);
}

} // namespace rosemarytrail::backends
