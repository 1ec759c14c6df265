#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/server.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <future>
#include <iostream>
#include <string>
#include <vector>

using namespace rosemarytrail; // NOLINT

namespace {

/** @brief Answers every request at once. */
class echo_handler final : public http::handler
{
public:
    std::optional<http::response> on_head(const http::request&) override
    {
        return std::nullopt;
    }

    void on_request(std::shared_ptr<http::exchange> it) override
    {
        it->respond({.body = std::string(100, 'x')});
    }
};

/** @brief Keeps a fixed number of requests in flight until all are done. */
class closed_loop
{
public:
    closed_loop(http::client& client, std::string url, int requests)
        : client_{client}
        , url_{std::move(url)}
        , left_{requests}
        , open_{requests}
        , spans_(static_cast<std::size_t>(requests))
    {}

    void run(int in_flight)
    {
        const auto begin = boot_clock::now();
        for (int i = 0; i < in_flight; ++i) {
            send_next();
        }
        done_.get_future().wait();
        report(in_flight, boot_clock::now() - begin);
    }

private:
    void send_next()
    {
        const int i = --left_;
        if (i < 0) {
            return;
        }
        client_.fetch(
            {.method = "POST", .url = url_, .body = std::string(100, 'y')},
            [this, i](const http::client_response& it) {
                on_answer(static_cast<std::size_t>(i), it);
            });
    }

    void on_answer(std::size_t i, const http::client_response& it)
    {
        spans_[i] = it.elapsed;
        failed_ += it.transport != http::transport_result::complete ? 1 : 0;
        send_next();
        if (--open_ == 0) {
            done_.set_value();
        }
    }

    void report(int in_flight, duration span)
    {
        std::sort(spans_.begin(), spans_.end());
        const auto at = [this](double part) {
            const auto last = static_cast<double>(spans_.size() - 1);
            return spans_[static_cast<std::size_t>(part * last)].count();
        };
        const auto rate = static_cast<double>(spans_.size()) * 1e6 /
                          static_cast<double>(span.count());
        std::cout << "in_flight " << in_flight << " requests " << spans_.size()
                  << " failed " << failed_ << " per_second "
                  << static_cast<long>(rate) << " p50_us " << at(0.5)
                  << " p99_us " << at(0.99) << " p999_us " << at(0.999) << "\n";
    }

    http::client& client_;
    std::string url_;
    std::atomic<int> left_;
    std::atomic<int> open_;
    std::vector<duration> spans_;
    std::atomic<int> failed_{0};
    std::promise<void> done_;
};

} // namespace

int main(int argc, char** argv)
{
    constexpr int default_requests = 50000;
    const int requests = argc > 1 ? std::atoi(argv[1]) : default_requests;
    echo_handler handler;
    http::server server{{.threads = 2}, handler};
    reason why;
    const auto port = server.start(why);
    if (!port) {
        std::cerr << why.detail << "\n";
        return EXIT_FAILURE;
    }
    const auto client = http::make_curl_client({.threads = 1});
    const auto url = "http://127.0.0.1:" + std::to_string(*port) + "/x";
    for (const int in_flight : {1, 8, 64, 256}) {
        closed_loop{*client, url, requests}.run(in_flight);
    }
    return EXIT_SUCCESS;
}
