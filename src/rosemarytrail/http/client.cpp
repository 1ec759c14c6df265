#include <rosemarytrail/http/client.hpp>

#include <rosemarytrail/http/internal/curl_loop.hpp>
#include <rosemarytrail/http/internal/curl_transfer.hpp>

#include <algorithm>
#include <functional>
#include <future>
#include <utility>

namespace rosemarytrail::http {

namespace {

using internal::curl_loop;
using internal::curl_transfer;

/** @brief Initializes libcurl once per process. */
void start_curl()
{
    [[maybe_unused]] static const auto once =
        curl_global_init(CURL_GLOBAL_DEFAULT);
}

/** @brief Client that assigns each host to one of its threads by hash. */
class curl_client final : public client
{
public:
    explicit curl_client(const client_options& options)
    {
        const auto n = std::max(options.threads, 1U);
        for (unsigned i = 0; i < n; ++i) {
            loops_.push_back(std::make_unique<curl_loop>(options));
        }
    }

    void fetch(client_request outgoing, callback done) override
    {
        auto it = std::make_unique<curl_transfer>(
            std::move(outgoing), std::move(done), boot_clock::now());
        const auto hash = std::hash<std::string_view>{}(it->host());
        loops_[hash % loops_.size()]->submit(std::move(it));
    }

private:
    std::vector<std::unique_ptr<curl_loop>> loops_;
};

/** @brief Event loop that runs on a single libcurl thread. */
class curl_event_loop final : public event_loop
{
public:
    explicit curl_event_loop(const client_options& options)
        : loop_{options}
    {}

    void fetch(client_request outgoing, callback done) override
    {
        loop_.submit(std::make_unique<curl_transfer>(
            std::move(outgoing), std::move(done), boot_clock::now()));
    }

    void post(task work) override { loop_.post(std::move(work)); }

    void post_at(time_point at, task work) override
    {
        loop_.post_at(at, std::move(work));
    }

private:
    curl_loop loop_;
};

} // namespace

client_response client::fetch_and_wait(client_request outgoing)
{
    std::promise<client_response> result;
    fetch(std::move(outgoing),
          [&result](client_response it) { result.set_value(std::move(it)); });
    return result.get_future().get();
}

std::unique_ptr<client> make_curl_client(const client_options& options)
{
    start_curl();
    return std::make_unique<curl_client>(options);
}

std::unique_ptr<event_loop> make_event_loop(const client_options& options)
{
    start_curl();
    return std::make_unique<curl_event_loop>(options);
}

} // namespace rosemarytrail::http
