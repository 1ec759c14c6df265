#ifndef ROSEMARYTRAIL_REQUEST_ADMISSION_HPP
#define ROSEMARYTRAIL_REQUEST_ADMISSION_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/request/token_bucket.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace rosemarytrail::request {

/** @brief Bounds of an entry VM. */
struct admission_options
{
    /** @brief Requests in flight at most. */
    std::uint32_t in_flight{1024};
    /** @brief Requests in flight of one client account at most. */
    std::uint32_t account_in_flight{256};
    /** @brief Requests a second of one client account at most. */
    double account_rate{10000.0};
    /** @brief Part of a second's rate that may come at once. */
    double burst_seconds{0.25};
    /**
     * @brief Part of a service's capacity that is open to all teams; beyond
     * it, each team gets its weighted share of the whole only.
     */
    double open_fraction{0.8};
    /** @brief Longest wait for a place in a service; then it is refused. */
    duration longest_wait{std::chrono::milliseconds{20}};
    /** @brief Requests of a team that may wait, as a part of its share. */
    double waiting_fraction{0.25};
    /** @brief Client accounts kept track of at most. */
    std::size_t accounts{4096};
};

/** @brief Place that a request takes in a service. */
struct service_place
{
    service_id service{};
    team_id team{};
    /** @brief Requests that the service runs at once for this entry VM. */
    std::uint32_t capacity{};
};

/** @brief Answer to the wish for a place in a service. */
enum class place_answer : std::uint8_t
{
    taken,
    /** @brief It is told soon, one way or the other. */
    waiting,
    refused
};

/** @brief Tells a request that waited whether it has a place now. */
struct place_news
{
    std::function<void(bool taken)> tell;
    bool taken{false};
};

/**
 * @brief Decides which requests an entry VM takes; any thread may call it.
 *
 * When all places of a service are taken, a few requests of each team wait for
 * a moment; all others are refused at once.
 */
class admission
{
public:
    /** @param options Bounds. */
    explicit admission(const admission_options& options);

    /**
     * @brief Counts a request against the rate of its client account.
     * @param account Client account.
     * @param now Present time.
     * @param why Set if false: `account_over_limit`.
     * @return True if it is within the rate.
     */
    [[nodiscard]] bool take_rate(const std::string& account, time_point now,
                                 reason& why);

    /**
     * @brief Takes a place on this entry VM.
     * @param account Client account.
     * @param why Set if false: `account_over_limit` or `overloaded`.
     * @return True if it was taken; `leave` gives it back.
     */
    [[nodiscard]] bool enter(const std::string& account, reason& why);

    /** @param account Client account whose request ended. */
    void leave(const std::string& account);

    /**
     * @brief Tells whether `enter_service` would not refuse now.
     * @param place Place asked for.
     * @param weights Weight of each team.
     * @param why Set if false: `no_upstream`, `overloaded` or
     * `team_over_share`.
     * @return True if it would.
     */
    [[nodiscard]] bool has_place(const service_place& place,
                                 const std::map<team_id, double>& weights,
                                 reason& why) const;

    /**
     * @brief Takes a place in a service, or waits for one.
     * @param place Place asked for.
     * @param weights Weight of each team; outlives a wait.
     * @param now Present time.
     * @param tell Called later if the answer is `waiting`.
     * @param why Set if refused, as by `has_place`.
     * @return What became of it; `leave_service` gives a taken place back.
     */
    [[nodiscard]] place_answer
    enter_service(const service_place& place,
                  const std::map<team_id, double>& weights, time_point now,
                  std::function<void(bool taken)> tell, reason& why);

    /**
     * @brief Gives a place back.
     * @param place Place to give back.
     * @param now Present time.
     * @return Requests to be told, by the caller.
     */
    [[nodiscard]] std::vector<place_news>
    leave_service(const service_place& place, time_point now);

    /**
     * @brief Finds requests that have waited for too long.
     * @param now Present time.
     * @return Requests to be told, by the caller.
     */
    [[nodiscard]] std::vector<place_news> expire(time_point now);

private:
    struct team_load
    {
        std::uint32_t in_flight{};
        std::uint32_t waiting{};
    };

    struct waiting_request
    {
        service_place place{};
        const std::map<team_id, double>* weights{};
        time_point until{};
        std::function<void(bool taken)> tell;
    };

    struct service_load
    {
        std::uint32_t in_flight{};
        std::map<team_id, team_load> teams;
        std::deque<waiting_request> waiting;
    };

    [[nodiscard]] static const service_load& no_load();
    [[nodiscard]] static double share(const service_load& load,
                                      const service_place& place,
                                      const std::map<team_id, double>& weights);
    [[nodiscard]] bool fits(const service_load& load,
                            const service_place& place,
                            const std::map<team_id, double>& weights,
                            reason& why) const;
    [[nodiscard]] bool may_wait(const service_load& load,
                                const service_place& place,
                                const std::map<team_id, double>& weights) const;
    void take(const service_place& place);
    void expire(service_load& load, time_point now,
                std::vector<place_news>& news);
    void admit_waiting(service_load& load, std::vector<place_news>& news);
    void forget_idle(time_point now);

    admission_options options_;
    mutable std::mutex mutex_;
    std::map<std::string, token_bucket> rates_;
    std::map<std::string, std::uint32_t> accounts_;
    std::map<service_id, service_load> services_;
    std::uint32_t in_flight_{};
    std::size_t waiting_{};
};

} // namespace rosemarytrail::request

#endif
