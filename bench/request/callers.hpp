#ifndef ROSEMARYTRAIL_BENCH_REQUEST_CALLERS_HPP
#define ROSEMARYTRAIL_BENCH_REQUEST_CALLERS_HPP

#include "entry_vm.hpp"
#include "event_queue.hpp"
#include "fake_upstreams.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::bench {

/** @brief What callers saw, and what must never be. */
struct tally
{
    std::uint64_t requests{};
    std::uint64_t sendings{};
    std::uint64_t answered{};
    std::uint64_t kept{};
    std::uint64_t upstream_errors{};
    std::uint64_t said_not_run{};
    std::uint64_t said_unknown{};
    std::uint64_t in_progress{};
    std::uint64_t other_refusals{};
    /** @brief No answer: the entry VM died, or was paused for too long. */
    std::uint64_t unanswered{};
    std::map<int, std::uint64_t> codes;
    duration slowest_refusal{};

    std::uint64_t doubled{};
    std::uint64_t wrong_answers{};
    std::uint64_t false_not_run{};
};

/** @brief Client accounts that send again as docs/API.md allows. */
class callers
{
public:
    /** @brief Gives an entry VM of the balancer's choice, or null. */
    using balancer = std::function<entry_vm*()>;

    callers(event_queue& events, fake_fleet& fleet, balancer choose,
            std::string key, std::uint64_t seed);

    /** @brief Sends a new request. */
    void start();

    /** @brief Looks for what must never be, when all is quiet. */
    void check_all();

    [[nodiscard]] const tally& result() const noexcept { return tally_; }

private:
    struct task
    {
        std::string path;
        bool post{false};
        int sendings{};
        /** @brief Sendings that were told "not run". */
        int told_not_run{};
        bool done{false};
    };

    struct sending;
    class caller_exchange;

    void send(const std::shared_ptr<task>& it);
    void end(const std::shared_ptr<sending>& it, const http::response& answer);
    void refused(const std::shared_ptr<sending>& it,
                 const http::response& answer);
    void send_later(const std::shared_ptr<task>& it);
    void check_not_run(const task& it, int number);

    event_queue& events_;
    fake_fleet& fleet_;
    balancer choose_;
    std::string key_;
    std::mt19937_64 random_;
    std::vector<std::shared_ptr<task>> tasks_;
    /** @brief Sendings that were told "not run", to be checked again. */
    std::vector<std::pair<std::shared_ptr<task>, int>> claims_;
    tally tally_;
};

} // namespace rosemarytrail::bench

#endif
