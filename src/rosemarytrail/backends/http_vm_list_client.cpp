#include <rosemarytrail/backends/http_vm_list_client.hpp>

#include <rosemarytrail/backends/vm_wire.hpp>

#include <memory>
#include <mutex>
#include <utility>

namespace rosemarytrail::backends {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;

/** @brief VM list with its `ETag`. */
struct tagged_list
{
    std::string tag;
    std::vector<vm_entry> vms;
};

using tagged_list_ptr = std::shared_ptr<const tagged_list>;

/** @brief Last tagged list; shared with calls in flight. */
class list_cache
{
public:
    [[nodiscard]] tagged_list_ptr get() const
    {
        const std::lock_guard guard{lock_};
        return last_;
    }

    void set(tagged_list_ptr it)
    {
        const std::lock_guard guard{lock_};
        last_ = std::move(it);
    }

private:
    mutable std::mutex lock_;
    tagged_list_ptr last_;
};

[[nodiscard]] vm_list_outcome read_list(const http::client_response& it,
                                        const tagged_list_ptr& known,
                                        list_cache& cache)
{
    if (it.transport != http::transport_result::complete) {
        return {};
    }
    if (it.answer.status == status_not_modified && known) {
        return {.answered = true, .vms = known->vms};
    }
    if (it.answer.status != status_ok) {
        return {};
    }
    auto vms = decode_vm_list(it.answer.body);
    if (!vms) {
        return {};
    }
    if (const auto tag = http::find_header(it.answer.headers, "ETag")) {
        cache.set(std::make_shared<const tagged_list>(
            tagged_list{.tag = std::string{*tag}, .vms = *vms}));
    }
    return {.answered = true, .vms = std::move(*vms)};
}

/** @brief HTTP implementation of vm_list_client. */
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
        const auto known = cache_->get();
        http::client_request outgoing{.url = url_, .timeout = options_.timeout};
        if (known) {
            outgoing.headers.push_back({"If-None-Match", known->tag});
        }
        client_.fetch(std::move(outgoing),
                      [done = std::move(done), known,
                       cache = cache_](const http::client_response& it) {
                          done(read_list(it, known, *cache));
                      });
    }

private:
    http::client& client_;
    std::string url_;
    http_vm_list_options options_;
    std::shared_ptr<list_cache> cache_ = std::make_shared<list_cache>();
};

} // namespace

std::unique_ptr<vm_list_client>
make_http_vm_list_client(http::client& client, std::string base_url,
                         const http_vm_list_options& options)
{
    return std::make_unique<http_vm_list_client>(client, std::move(base_url),
                                                 options);
}

} // namespace rosemarytrail::backends
