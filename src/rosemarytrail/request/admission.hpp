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

/** @brief Request limits of an entry VM. */
struct admission_options
{
    /** @brief Maximum requests in flight; more are rejected as `overloaded`. */
    std::uint32_t in_flight{1024};
    /**
     * @brief Maximum requests in flight of one client account; more are
     * rejected as `account_over_limit`.
     */
    std::uint32_t account_in_flight{256};
    /**
     * @brief Maximum requests per second of one client account; more are
     * rejected as `account_over_limit`.
     */
    double account_rate{10000.0};
    /** @brief Burst allowance of a client account, as seconds of its rate. */
    double burst_seconds{0.25};
    /**
     * @brief Fraction of a service's capacity that any team may use. Above it,
     * a team is admitted only up to its weighted share of the whole capacity.
     */
    double open_fraction{0.8};
    /**
     * @brief Maximum wait for a slot in a service; the request is rejected
     * after it.
     */
    duration max_wait{std::chrono::milliseconds{20}};
    /**
     * @brief Maximum waiting requests of a team, as a fraction of the team's
     * share.
     */
    double max_waiting_fraction{0.25};
    /**
     * @brief Number of tracked client accounts at which idle ones are evicted.
     */
    std::size_t accounts{4096};
};

/** @brief Slot of a service that a request occupies. */
struct service_slot
{
    service_id service{};
    team_id team{};
    /** @brief Concurrent requests that the service runs for this entry VM. */
    std::uint32_t capacity{};
};

/** @brief Result of requesting a slot in a service. */
enum class slot_result : std::uint8_t
{
    taken,
    /**
     * @brief Queued; the callback reports the result within the maximum wait.
     */
    waiting,
    refused
};

/** @brief Pending notification of a queued request about its slot. */
struct slot_notification
{
    std::function<void(bool taken)> notify;
    bool taken{false};
};

/**
 * @brief Admission control of an entry VM. Thread-safe.
 *
 * When all slots of a service are occupied, a bounded number of requests per
 * team is queued for a short time; all others are rejected immediately.
 */
class admission
{
public:
    /** @param options Limits. */
    explicit admission(const admission_options& options);

    /**
     * @brief Counts a request against the rate limit of its client account.
     * @param account Client account.
     * @param now Current time.
     * @param why Set if false: `account_over_limit`.
     * @return True if the request is within the rate limit.
     */
    [[nodiscard]] bool take_rate_token(const std::string& account,
                                       time_point now, reason& why);

    /**
     * @brief Admits a request to this entry VM.
     * @param account Client account.
     * @param why Set if false: `account_over_limit` or `overloaded`.
     * @return True if admitted; `leave` must be called when the request ends.
     */
    [[nodiscard]] bool enter(const std::string& account, reason& why);

    /** @param account Client account whose request ended. */
    void leave(const std::string& account);

    /**
     * @brief Checks whether `enter_service` would accept or queue a request
     * now.
     * @param slot Requested slot.
     * @param weights Weight of each team.
     * @param why Set if false: `no_upstream`, `overloaded` or
     * `team_over_share`.
     * @return True unless it would be rejected.
     */
    [[nodiscard]] bool has_slot(const service_slot& slot,
                                const std::map<team_id, double>& weights,
                                reason& why) const;

    /**
     * @brief Allocates a slot in a service, or queues the request for one.
     * @param slot Requested slot.
     * @param weights Weight of each team; must outlive the time in the queue.
     * @param now Current time.
     * @param notify Called later if the result is `waiting`.
     * @param why Set if rejected, as by `has_slot`.
     * @return Result; `leave_service` must be called to release an allocated
     * slot.
     */
    [[nodiscard]] slot_result
    enter_service(const service_slot& slot,
                  const std::map<team_id, double>& weights, time_point now,
                  std::function<void(bool taken)> notify, reason& why);

    /**
     * @brief Releases a slot and allocates free slots to queued requests.
     * @param slot Slot to release.
     * @param now Current time.
     * @return Notifications that the caller must deliver.
     */
    [[nodiscard]] std::vector<slot_notification>
    leave_service(const service_slot& slot, time_point now);

    /**
     * @brief Removes requests that have reached the maximum wait from the
     * queue.
     * @param now Current time.
     * @return Notifications that the caller must deliver.
     */
    [[nodiscard]] std::vector<slot_notification> expire(time_point now);

private:
    struct team_load
    {
        std::uint32_t in_flight{};
        std::uint32_t waiting{};
    };

    struct waiting_request
    {
        service_slot slot{};
        const std::map<team_id, double>* weights{};
        time_point deadline{};
        std::function<void(bool taken)> notify;
    };

    struct service_load
    {
        std::uint32_t in_flight{};
        std::map<team_id, team_load> teams;
        std::deque<waiting_request> waiting;
    };

    [[nodiscard]] static const service_load& empty_load();
    [[nodiscard]] static double share(const service_load& load,
                                      const service_slot& slot,
                                      const std::map<team_id, double>& weights);
    [[nodiscard]] bool fits(const service_load& load, const service_slot& slot,
                            const std::map<team_id, double>& weights,
                            reason& why) const;
    [[nodiscard]] bool may_wait(const service_load& load,
                                const service_slot& slot,
                                const std::map<team_id, double>& weights) const;
    void take(const service_slot& slot);
    void expire(service_load& load, time_point now,
                std::vector<slot_notification>& notifications);
    void admit_waiting(service_load& load,
                       std::vector<slot_notification>& notifications);
    void evict_idle(time_point now);

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
