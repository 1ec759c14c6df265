#include <rosemarytrail/standin/vm_list_service.hpp>

#include <rosemarytrail/backends/vm_wire.hpp>
#include <rosemarytrail/standin/control_page.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace rosemarytrail::standin {

namespace {

constexpr std::string_view list_path = "/v1/vms";
constexpr std::string_view row_path = "/v1/vms/";
constexpr int status_not_modified = 304;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

[[nodiscard]] std::string tag_of(std::string_view body)
{
    const auto digest = std::hash<std::string_view>{}(body);
    return '"' + std::to_string(digest) + '-' + std::to_string(body.size()) +
           '"';
}

} // namespace

vm_list_service::vm_list_service(const vm_list_faults& faults)
    : model_{faults}
{}

std::optional<http::response>
vm_list_service::on_head(const http::request& /*head*/)
{
    return std::nullopt;
}

void vm_list_service::on_request(std::shared_ptr<http::exchange> it)
{
    const std::lock_guard guard{lock_};
    it->respond(answer(it->incoming()));
}

http::response vm_list_service::answer(const http::request& incoming)
{
    if (auto page = answer_common(incoming, incoming.path, model_)) {
        return std::move(*page);
    }
    if (incoming.path == list_path && incoming.method == "GET") {
        return list(incoming);
    }
    if (incoming.path.starts_with(row_path)) {
        return change(incoming);
    }
    return json_answer(status_not_found, "{}");
}

http::response vm_list_service::list(const http::request& incoming)
{
    const auto result = model_.list(boot_clock::now());
    if (!result.answered) {
        return json_answer(status_unavailable, "{}");
    }
    auto answer = json_answer(200, backends::encode_vm_list(result.vms));
    const auto tag = tag_of(answer.body);
    answer.headers.push_back({"ETag", tag});
    if (http::find_header(incoming.headers, "If-None-Match") == tag) {
        answer.status = status_not_modified;
        answer.body.clear();
    }
    return answer;
}

http::response vm_list_service::change(const http::request& incoming)
{
    const vm_id vm{incoming.path.substr(row_path.size())};
    if (incoming.method == "DELETE") {
        model_.remove(vm, boot_clock::now());
        return json_answer(200, "{}");
    }
    const auto row = backends::decode_vm(incoming.body);
    if (incoming.method != "PUT" || !row || row->vm != vm) {
        return json_answer(status_bad_request, "{}");
    }
    model_.upsert(*row, boot_clock::now());
    return json_answer(200, "{}");
}

} // namespace rosemarytrail::standin
