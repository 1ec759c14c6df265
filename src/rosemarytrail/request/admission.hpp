#ifndef ROSEMARYTRAIL_REQUEST_ADMISSION_HPP
#define ROSEMARYTRAIL_REQUEST_ADMISSION_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/request/token_bucket.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

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

/**
 * @brief Decides which requests an entry VM takes; any thread may call it.
 *
 * Nothing waits: a request is taken or refused at once.
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
     * @brief Tells whether `enter_service` would succeed now.
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
     * @brief Takes a place in a service.
     * @copydetails has_place
     * @return True if it was taken; `leave_service` gives it back.
     */
    [[nodiscard]] bool enter_service(const service_place& place,
                                     const std::map<team_id, double>& weights,
                                     reason& why);

    /** @param place Place to give back. */
    void leave_service(const service_place& place);

private:
    struct service_load
    {
        std::uint32_t in_flight{};
        std::map<team_id, std::uint32_t> teams;
    };

    [[nodiscard]] bool fits(const service_place& place,
                            const std::map<team_id, double>& weights,
                            reason& why) const;
    void forget_idle(time_point now);

    admission_options options_;
    mutable std::mutex mutex_;
    std::map<std::string, token_bucket> rates_;
    std::map<std::string, std::uint32_t> accounts_;
    std::map<service_id, service_load> services_;
    std::uint32_t in_flight_{};
};

} // namespace rosemarytrail::request

#endif
