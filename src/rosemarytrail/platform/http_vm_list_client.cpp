#include <rosemarytrail/platform/http_vm_list_client.hpp>

#include <rosemarytrail/platform/vm_wire.hpp>

#include <utility>

namespace rosemarytrail::platform {

namespace {

constexpr int status_ok = 200;

[[nodiscard]] vm_list_outcome read_list(const http::client_response& it)
{
    if (it.transport != http::transport_result::complete ||
        it.answer.status != status_ok) {
        return {};
    }
    auto vms = decode_vm_list(it.answer.body);
    if (!vms) {
        return {};
    }
    return {.answered = true, .vms = std::move(*vms)};
}

/** @brief Client of the VM list over HTTP. */
class http_vm_list_client final : public vm_list_client
{
public:
    http_vm_list_client(http::client& client, std::string base_url,
                        const http_vm_list_options& options)
        : client_{client}
        , url_{std::move(base_url) + "/v1/vms"}
        , options_{options}
    {}

    void fetch(std::function<void(vm_list_outcome)> done) override
    {
        client_.fetch(
            {.url = url_, .timeout = options_.timeout},
            [done = std::move(done)](const http::client_response& it) {
                done(read_list(it));
            });
    }

private:
    http::client& client_;
    std::string url_;
    http_vm_list_options options_;
};

} // namespace

std::unique_ptr<vm_list_client>
make_http_vm_list_client(http::client& client, std::string base_url,
                         const http_vm_list_options& options)
{
    return std::make_unique<http_vm_list_client>(client, std::move(base_url),
                                                 options);
}

} // namespace rosemarytrail::platform
