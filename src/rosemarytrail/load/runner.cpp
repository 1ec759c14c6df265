#include <rosemarytrail/load/runner.hpp>

#include <rosemarytrail/load/balancer.hpp>
#include <rosemarytrail/load/plan.hpp>

#include <charconv>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace rosemarytrail::load {

namespace {

constexpr int first_bad_status = 400;

/** @brief Requests in flight and what became of the others in one phase. */
class phase_run : public std::enable_shared_from_this<phase_run>
{
public:
    phase_run(const experiment& whole, const phase& part,
              const runner_ports& ports, std::string id_prefix)
        : whole_{whole}
        , part_{part}
        , ports_{ports}
        , id_prefix_{std::move(id_prefix)}
        , body_(part.body_bytes, 'x')
    {
        result_.name = part.name;
        result_.span = part.span;
        for (const auto& it : whole.targets) {
            result_.targets.push_back({.name = it.name});
            balancers_.emplace_back(ports.client, it);
        }
    }

    void run(std::uint64_t seed)
    {
        const auto requests = plan(part_, whole_.targets.size(), seed);
        const auto start = ports_.clock.now();
        for (const auto& it : requests) {
            ports_.wait_until(start + it.at);
            balancers_[it.target].poll(ports_.clock.now());
            send(it, start + it.at);
        }
        std::unique_lock lock{mutex_};
        idle_.wait(lock, [this] { return in_flight_ == 0; });
    }

    [[nodiscard]] phase_result take() { return std::move(result_); }

private:
    void send(const planned_request& it, time_point intended)
    {
        std::string id;
        {
            const std::lock_guard lock{mutex_};
            auto& result = result_.targets[it.target];
            const auto n = result.planned++;
            if (in_flight_ >= whole_.in_flight) {
                ++result.not_sent;
                return;
            }
            ++in_flight_;
            id = id_prefix_ + std::to_string(it.target) + '-' +
                 std::to_string(n);
        }
        auto outgoing = request_of(it, id);
        ports_.client.fetch(std::move(outgoing),
                            [self = shared_from_this(), target = it.target, id,
                             intended](const http::client_response& response) {
                                self->end(target, id, intended, response);
                            });
    }

    [[nodiscard]] http::client_request request_of(const planned_request& it,
                                                  const std::string& id)
    {
        const auto& target = whole_.targets[it.target];
        http::client_request outgoing{.method = it.post ? "POST" : "GET",
                                      .url = balancers_[it.target].next(),
                                      .timeout = part_.timeout};
        outgoing.headers.push_back({"X-Request-Id", id});
        outgoing.headers.push_back(
            {"X-Deadline-Ms", std::to_string(to_milliseconds(part_.timeout))});
        if (!target.key.empty()) {
            outgoing.headers.push_back(
                {"Authorization", "Bearer " + target.key});
        }
        if (it.post) {
            outgoing.headers.push_back({"Idempotency-Key", id});
            outgoing.body = body_;
        }
        return outgoing;
    }

    void end(std::size_t target, const std::string& id, time_point intended,
             const http::client_response& response)
    {
        const auto latency = ports_.clock.now() - intended;
        const std::lock_guard lock{mutex_};
        count(result_.targets[target], id, latency, response);
        if (--in_flight_ == 0) {
            idle_.notify_all();
        }
    }

    static void count(target_result& result, const std::string& id,
                      duration latency, const http::client_response& response)
    {
        const auto& answer = response.answer;
        if (response.transport != http::transport_result::complete) {
            ++result.failed;
            return;
        }
        const auto given = http::find_header(answer.headers, "X-Request-Id");
        if (!given || *given != id) {
            ++result.crossed;
            return;
        }
        const auto code =
            http::find_header(answer.headers, "X-Rosemarytrail-Code");
        if (code) {
            ++result.refused;
            const auto said = answer.body.find("\"not_run\":true");
            result.not_run += said == std::string::npos ? 0 : 1;
            int n = 0;
            std::from_chars(code->data(), code->data() + code->size(), n);
            ++result.codes[n];
            result.refusal_latency.add(latency);
        } else if (answer.status < first_bad_status) {
            ++result.good;
            result.good_latency.add(latency);
        } else {
            ++result.failed;
        }
    }

    const experiment& whole_;
    const phase& part_;
    const runner_ports& ports_;
    std::string id_prefix_;
    std::string body_;
    std::deque<balancer> balancers_;
    std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t in_flight_{};
    phase_result result_;
};

} // namespace

std::vector<phase_result> run(const experiment& it, const runner_ports& ports)
{
    std::vector<phase_result> results;
    // Ids differ between runs, or a repeated run would get the kept answers.
    const auto run_id = std::to_string(std::random_device{}());
    std::uint64_t n = 0;
    for (const auto& part : it.phases) {
        const auto prefix = run_id + '-' + std::to_string(n) + '-';
        const auto now = std::make_shared<phase_run>(it, part, ports, prefix);
        now->run(it.seed + n * it.targets.size());
        ++n;
        if (!part.warm_up) {
            results.push_back(now->take());
        }
    }
    return results;
}

std::function<void(time_point)> make_wait(const time_source& clock)
{
    return [&clock](time_point moment) {
        constexpr duration coarse{std::chrono::microseconds{200}};
        auto left = moment - clock.now();
        while (left > duration{}) {
            if (left > coarse) {
                std::this_thread::sleep_for(left - coarse);
            } else {
                std::this_thread::yield();
            }
            left = moment - clock.now();
        }
    };
}

} // namespace rosemarytrail::load
