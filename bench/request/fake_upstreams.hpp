#ifndef ROSEMARYTRAIL_BENCH_REQUEST_FAKE_UPSTREAMS_HPP
#define ROSEMARYTRAIL_BENCH_REQUEST_FAKE_UPSTREAMS_HPP

#include "event_queue.hpp"
#include "owner.hpp"

#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/standin/upstream_model.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::bench {

/** @brief Upstreams of one service, and how often each path ran. */
struct fake_fleet
{
    explicit fake_fleet(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            models.emplace_back(standin::upstream_options{}, runs,
                                standin::upstream_faults{.seed = i + 1});
        }
        last_bodies.resize(n);
    }

    /** @brief Answer that belongs to a path. */
    [[nodiscard]] static std::string body_of(const std::string& path)
    {
        return "answer to " + path + std::string(path.size() % 50, '.');
    }

    /** @brief How often each path ran. */
    standin::run_counter runs;
    /** @brief Least number of a sending that ran, by path. */
    std::map<std::string, int> first_sending_run;
    std::vector<standin::upstream_model> models;
    /** @brief Newest body of each upstream; crossed answers bear it. */
    std::vector<std::string> last_bodies;
};

/**
 * @brief Upstreams as the client of one entry VM reaches them.
 *
 * It leaves the check of `echo` out, so that crossed answers reach the proxy.
 */
class fake_upstreams final : public http::client
{
public:
    fake_upstreams(event_queue& events, fake_fleet& fleet,
                   std::shared_ptr<owner> self, std::uint64_t seed)
        : events_{events}
        , fleet_{fleet}
        , owner_{std::move(self)}
        , random_{seed}
    {}

    void fetch(http::client_request outgoing, callback done) override
    {
        auto it = std::make_shared<transfer>();
        it->upstream = std::stoul(outgoing.url.substr(url_prefix.size()));
        it->path = outgoing.url.substr(outgoing.url.rfind('/') + 1);
        const auto number = http::find_header(outgoing.headers, "X-Sending");
        it->number = std::stoi(std::string{number.value_or("0")});
        it->sent = events_.now();
        it->done = std::move(done);
        const auto& model = fleet_.models[it->upstream];
        if (model.faults().mode == standin::fault_mode::down && chance(0.7)) {
            finish(it, {.transport = http::transport_result::not_sent});
            return;
        }
        events_.after(outgoing.timeout, [this, it] {
            finish(it, {.transport = http::transport_result::timed_out});
        });
        const auto delay = chance(0.003) ? microseconds(100'000, 3'000'000)
                                         : microseconds(500, 1500);
        if (const auto stale = stale_.extract(it->upstream); stale) {
            finish(it, stale.mapped());
        }
        const bool write = outgoing.method == "POST";
        events_.after(delay, [this, it, write, id = outgoing.echo.value] {
            arrive(it, write, id);
        });
    }

private:
    static constexpr std::string_view url_prefix{"http://u"};

    struct transfer
    {
        std::size_t upstream{};
        std::string path;
        int number{};
        time_point sent{};
        callback done;
    };

    void arrive(const std::shared_ptr<transfer>& it, bool write,
                const std::string& id)
    {
        auto& model = fleet_.models[it->upstream];
        const auto reply = model.begin({.service = service_id{"s"},
                                        .request_id = id,
                                        .idempotency_key = it->path,
                                        .writes = write});
        if (reply.action == standin::upstream_action::drop) {
            finish(it, {.transport = http::transport_result::cut_off});
            return;
        }
        http::client_response result{.transport =
                                         http::transport_result::complete};
        result.answer.headers = {{"X-Request-Id", reply.request_id},
                                 {"Content-Type", "text/plain"}};
        if (reply.action == standin::upstream_action::refuse) {
            result.answer.status = 503;
            result.answer.headers.push_back({"X-Not-Run", "1"});
            finish(it, std::move(result));
            return;
        }
        auto& first = fleet_.first_sending_run.try_emplace(it->path, it->number)
                          .first->second;
        first = std::min(first, it->number);
        events_.after(reply.delay + microseconds(1000, 20'000),
                      [this, it, reply, id, result = std::move(result)] {
                          fleet_.models[it->upstream].end();
                          answer(it, reply, id, result);
                      });
    }

    void answer(const std::shared_ptr<transfer>& it,
                const standin::upstream_reply& reply, const std::string& id,
                http::client_response result)
    {
        auto& last = fleet_.last_bodies[it->upstream];
        const auto own = fake_fleet::body_of(it->path);
        const bool crossed = reply.request_id != id;
        result.answer.body = crossed ? last : own;
        last = own;
        switch (reply.action) {
        case standin::upstream_action::fail:
            result.answer.status = 500;
            break;
        case standin::upstream_action::cut_off:
            result.transport = http::transport_result::cut_off;
            result.answer.body.resize(own.size() / 2);
            break;
        case standin::upstream_action::answer_twice:
            stale_[it->upstream] = result;
            break;
        default:
            break;
        }
        finish(it, std::move(result));
    }

    void finish(const std::shared_ptr<transfer>& it,
                http::client_response result)
    {
        if (!it->done) {
            return;
        }
        auto done = std::exchange(it->done, {});
        result.elapsed = events_.now() - it->sent;
        events_.after(microseconds(200, 800),
                      [self = owner_, done = std::move(done),
                       result = std::move(result)] {
                          self->deliver([done, result] { done(result); });
                      });
    }

    bool chance(double fraction)
    {
        return std::bernoulli_distribution{fraction}(random_);
    }

    duration microseconds(int least, int most)
    {
        return duration{
            std::uniform_int_distribution<int>{least, most}(random_)};
    }

    event_queue& events_;
    fake_fleet& fleet_;
    std::shared_ptr<owner> owner_;
    std::mt19937_64 random_;
    /** @brief Second answers that wait on connections of an upstream. */
    std::map<std::size_t, http::client_response> stale_;
};

} // namespace rosemarytrail::bench

#endif
