#include <rosemarytrail/standin/upstream_service.hpp>

#include <rosemarytrail/standin/control_page.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace rosemarytrail::standin {

namespace {

constexpr int status_failed = 500;
constexpr int status_unavailable = 503;

[[nodiscard]] std::string header_of(const http::request& incoming,
                                    std::string_view name)
{
    return std::string{http::find_header(incoming.headers, name).value_or("")};
}

[[nodiscard]] upstream_request to_request(const http::request& incoming,
                                          std::string_view path)
{
    const auto& method = incoming.method;
    upstream_request result{.service = service_of(path),
                            .request_id = header_of(incoming, "X-Request-Id")};
    result.idempotency_key = header_of(incoming, "Idempotency-Key");
    result.writes = method != "GET" && method != "HEAD";
    const auto offset = header_of(incoming, "X-Read-Offset");
    std::from_chars(offset.data(), offset.data() + offset.size(),
                    result.read_offset);
    return result;
}

[[nodiscard]] std::string path_below(std::string_view path,
                                     const service_id& service)
{
    const auto skipped = std::min(service.str().size() + 2, path.size());
    return std::string{path.substr(skipped)};
}

} // namespace

service_id service_of(std::string_view path)
{
    path.remove_prefix(path.starts_with('/') ? 1 : 0);
    return service_id{std::string{path.substr(0, path.find('/'))}};
}

http::response not_run_answer(const http::request& incoming)
{
    auto result = json_answer(status_unavailable, R"({"not_run":true})");
    result.headers.push_back({"X-Not-Run", "1"});
    result.headers.push_back(
        {"X-Request-Id", header_of(incoming, "X-Request-Id")});
    return result;
}

upstream_service::upstream_service(vm_id vm, const upstream_options& options,
                                   shared_run_counter& runs,
                                   delay_queue& delays)
    : vm_{std::move(vm)}
    , runs_{runs}
    , delays_{delays}
    , model_{options, runs.counter}
{}

void upstream_service::set_faults(const upstream_faults& faults)
{
    const std::lock_guard guard{runs_.lock};
    model_.set_faults(faults);
}

std::uint32_t upstream_service::busy()
{
    const std::lock_guard guard{runs_.lock};
    return model_.busy();
}

std::optional<http::response>
upstream_service::answer_page(const http::request& incoming,
                              std::string_view path)
{
    const std::lock_guard guard{runs_.lock};
    if (path != "/runs") {
        return answer_common(incoming, path, model_);
    }
    const std::string key{
        http::find_parameter(incoming.query, "key").value_or("")};
    backends::json body;
    body["runs"] = runs_.counter.runs(key);
    body["most"] = runs_.counter.most();
    return json_answer(200, backends::dump_json(body));
}

void upstream_service::serve(const std::shared_ptr<http::exchange>& it,
                             std::string_view path)
{
    const auto& incoming = it->incoming();
    if (auto page = answer_page(incoming, path)) {
        it->respond(std::move(*page));
        return;
    }
    const auto request = to_request(incoming, path);
    upstream_reply reply;
    {
        const std::lock_guard guard{runs_.lock};
        reply = model_.begin(request);
    }
    if (reply.action == upstream_action::drop) {
        it->cut_off({}, 0);
        return;
    }
    if (reply.action == upstream_action::refuse) {
        it->respond(not_run_answer(incoming));
        return;
    }
    delays_.run_after(reply.delay, [this, it, reply, service = request.service,
                                    below = path_below(path, request.service)] {
        finish(it, reply, service, below);
    });
}

void upstream_service::finish(const std::shared_ptr<http::exchange>& it,
                              const upstream_reply& reply,
                              const service_id& service,
                              const std::string& path)
{
    {
        const std::lock_guard guard{runs_.lock};
        model_.end();
    }
    backends::json body;
    body["service"] = service.str();
    body["path"] = path;
    body["request_id"] = reply.request_id;
    body["vm"] = vm_.str();
    body["run"] = reply.run;
    auto page = json_answer(200, backends::dump_json(body));
    page.headers.push_back({"X-Request-Id", reply.request_id});
    page.headers.push_back(
        {"X-Write-Offset", std::to_string(reply.write_offset)});
    switch (reply.action) {
    case upstream_action::fail:
        page.status = status_failed;
        it->respond(std::move(page));
        return;
    case upstream_action::cut_off: {
        const auto half = page.body.size() / 2;
        it->cut_off(std::move(page), half);
        return;
    }
    case upstream_action::answer_twice:
        it->respond_twice(std::move(page));
        return;
    default:
        it->respond(std::move(page));
    }
}

} // namespace rosemarytrail::standin
