#ifndef ROSEMARYTRAIL_TEST_PROXY_PROXY_FIXTURE_HPP
#define ROSEMARYTRAIL_TEST_PROXY_PROXY_FIXTURE_HPP

#include "raw_upstream.hpp"

#include <rosemarytrail/documents/key_secret.hpp>
#include <rosemarytrail/proxy/proxy_handler.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::test {

/**
 * @brief In-memory intent store that behaves like one entry VM with a fast log.
 */
class memory_intents final : public request::intent_store
{
public:
    void open(request::intent_key key, time_point /*deadline*/,
              std::function<void(request::intent_outcome)> done) override
    {
        request::intent_outcome outcome{.status = request::intent_status::run};
        {
            const std::lock_guard lock{mutex_};
            const auto [it, inserted] = answers_.try_emplace(key.key);
            if (!inserted) {
                outcome.status = it->second.status == 0
                                     ? request::intent_status::in_progress
                                     : request::intent_status::answered;
                outcome.answer = it->second;
                outcome.why.code = result_code::request_in_progress;
            }
        }
        done(std::move(outcome));
    }

    void close(const request::intent_key& key, bool ran,
               request::stored_response answer) override
    {
        const std::lock_guard lock{mutex_};
        if (ran) {
            answers_[key.key] = std::move(answer);
        } else {
            answers_.erase(key.key);
        }
    }

private:
    std::mutex mutex_;
    std::map<std::string, request::stored_response> answers_;
};

/**
 * @brief Proxy server, upstreams and a calling client, connected over loopback.
 */
class proxy_fixture
{
public:
    proxy_fixture(std::size_t upstreams,
                  const raw_upstream::fault_source& faults,
                  std::chrono::milliseconds late_by)
    {
        auto table = std::make_shared<request::routing_table>();
        for (std::size_t n = 0; n < upstreams; ++n) {
            upstreams_.push_back(
                std::make_unique<raw_upstream>(runs, faults, late_by));
            table->services[service_id{"plugs"}].push_back(
                {.vm = vm_id{"u" + std::to_string(n)},
                 .address = upstreams_.back()->address()});
        }
        table->keys[key_id{"k"}] = {.key = key_id{"k"},
                                    .team = team_id{"t"},
                                    .account = "a",
                                    .salt = "00",
                                    .hash =
                                        documents::hash_secret("00", "secret")};
        table->fresh_until = clock.now() + std::chrono::hours{1};
        table->catching_up = false;
        proxy.set_table(std::move(table));
        reason why;
        const auto port = server.start(why);
        REQUIRE(port);
        base =
            "http://127.0.0.1:" + std::to_string(*port) + "/v1/services/plugs/";
    }

    [[nodiscard]] http::client_request
    make(const std::string& method, const std::string& path,
         std::chrono::milliseconds deadline) const
    {
        http::client_request it{.method = method, .url = base + path};
        it.headers = {{"Authorization", "Bearer k.secret"},
                      {"X-Request-Id", "same for all"},
                      {"X-Deadline-Ms", std::to_string(deadline.count())}};
        if (method == "POST") {
            it.headers.push_back({"Idempotency-Key", path});
            it.body = "{}";
        }
        return it;
    }

    [[nodiscard]] std::uint64_t count(const std::string& name)
    {
        return metrics.make_counter(name, "").value();
    }

    run_log runs;
    boot_time_source clock;
    metrics::registry metrics;
    memory_intents intents;

private:
    std::vector<std::unique_ptr<raw_upstream>> upstreams_;

public:
    std::unique_ptr<http::client> to_upstreams{http::make_curl_client({})};
    proxy::proxy_handler proxy{
        {.self = incarnation_id{"e1"}}, clock, *to_upstreams, intents, metrics};
    http::server server{{}, proxy};
    std::unique_ptr<http::client> caller{
        http::make_curl_client({.connections_per_host = 16})};
    std::string base;
};

} // namespace rosemarytrail::test

#endif
