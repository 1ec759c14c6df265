#include <rosemarytrail/standin/worker_service.hpp>

#include <rosemarytrail/backends/vm_wire.hpp>
#include <rosemarytrail/backends/worker_wire.hpp>
#include <rosemarytrail/standin/control_page.hpp>

#include <algorithm>
#include <future>
#include <utility>

namespace rosemarytrail::standin {

namespace {

using exchange_pointer = std::shared_ptr<http::exchange>;

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_precondition = 412;

[[nodiscard]] http::response outcome_page(const backends::worker_outcome& it)
{
    const int status = it.code == result_code::ok ? 200 : status_precondition;
    return json_answer(status, backends::encode_worker_outcome(it));
}

} // namespace

hosted_vm::hosted_vm(backends::vm_entry row, const worker_options& options,
                     shared_run_counter& runs, delay_queue& delays)
    : row_{std::move(row)}
    , model_{options}
    , upstream_{row_.vm, {.slots = row_.slots}, runs, delays}
    , delays_{delays}
{}

void hosted_vm::set_faults(const worker_faults& faults)
{
    const std::lock_guard guard{lock_};
    model_.set_faults(faults);
}

backends::vm_entry hosted_vm::row()
{
    const std::lock_guard guard{lock_};
    auto result = row_;
    result.leaving = model_.faults().leaving;
    return result;
}

void hosted_vm::serve_command(const exchange_pointer& it, std::string_view path)
{
    {
        const std::lock_guard guard{lock_};
        if (auto page = answer_common(it->incoming(), path, model_)) {
            it->respond(std::move(*page));
            return;
        }
    }
    if (path != "/v1/batch" || it->incoming().method != "POST") {
        it->respond(json_answer(status_not_found, "{}"));
        return;
    }
    apply(it);
}

void hosted_vm::apply(const exchange_pointer& it)
{
    const auto batch = backends::decode_worker_batch(it->incoming().body);
    if (!batch) {
        it->respond(json_answer(status_bad_request, "{}"));
        return;
    }
    const auto busy = upstream_.busy();
    std::unique_lock guard{lock_};
    const auto faults = model_.faults();
    if (faults.mode == fault_mode::down) {
        it->cut_off({}, 0);
        return;
    }
    model_.set_busy_slots(busy);
    auto page = outcome_page(model_.apply(*batch, boot_clock::now()));
    const bool lost = model_.loses_answer();
    guard.unlock();
    if (lost) {
        it->cut_off({}, 0);
        return;
    }
    const bool slow = faults.mode == fault_mode::slow;
    delays_.run_after(slow ? faults.slow : duration::zero(),
                      [it, page = std::move(page)]() mutable {
                          it->respond(std::move(page));
                      });
}

bool hosted_vm::serves(const service_id& service)
{
    const std::lock_guard guard{lock_};
    model_.advance(boot_clock::now());
    return !model_.faults().leaving && model_.serves(service);
}

void hosted_vm::serve_request(const exchange_pointer& it, std::string_view path)
{
    const bool common =
        path == "/live" || path == "/control" || path == "/runs";
    if (!common && !serves(service_of(path))) {
        it->respond(not_run_answer(it->incoming()));
        return;
    }
    upstream_.serve(it, path);
}

void vm_host::add(const backends::vm_entry& row, const worker_options& options,
                  const worker_faults& faults)
{
    vms_.push_back(std::make_unique<hosted_vm>(row, options, runs_, delays_));
    vms_.back()->set_faults(faults);
    by_prefix_["/" + row.vm.str()] = vms_.back().get();
}

hosted_vm* vm_host::find(std::string_view& path) const
{
    if (vms_.size() == 1) {
        return vms_.front().get();
    }
    const auto end = std::min(path.find('/', 1), path.size());
    const auto found = by_prefix_.find(path.substr(0, end));
    if (found == by_prefix_.end()) {
        return nullptr;
    }
    path.remove_prefix(end);
    return found->second;
}

std::optional<http::response>
host_handler::on_head(const http::request& /*head*/)
{
    return std::nullopt;
}

void host_handler::on_request(exchange_pointer it)
{
    std::string_view path{it->incoming().path};
    auto* vm = host_.find(path);
    if (vm != nullptr) {
        (vm->*serve_)(it, path);
        return;
    }
    const bool live = path == "/live";
    it->respond(live ? json_answer(200, R"({"live":true})")
                     : json_answer(status_not_found, "{}"));
}

vm_registration::vm_registration(const vm_host& host, http::client& client,
                                 std::string vm_list_url)
    : host_{host}
    , client_{client}
    , vm_list_url_{std::move(vm_list_url)}
{}

void vm_registration::send_all(const make_request& make)
{
    std::vector<std::promise<void>> done(host_.vms().size());
    for (std::size_t i = 0; i < done.size(); ++i) {
        const auto row = host_.vms()[i]->row();
        auto url = vm_list_url_ + "/v1/vms/" + row.vm.str();
        client_.fetch(
            make(row, std::move(url)),
            [&done, i](const http::client_response&) { done[i].set_value(); });
    }
    for (auto& it : done) {
        it.get_future().wait();
    }
}

void vm_registration::send()
{
    send_all([](const backends::vm_entry& row, std::string url) {
        return http::client_request{.method = "PUT",
                                    .url = std::move(url),
                                    .headers = {},
                                    .body = backends::encode_vm(row)};
    });
}

void vm_registration::withdraw()
{
    send_all([](const backends::vm_entry& /*row*/, std::string url) {
        return http::client_request{.method = "DELETE", .url = std::move(url)};
    });
}

} // namespace rosemarytrail::standin
