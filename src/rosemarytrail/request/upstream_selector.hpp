#ifndef ROSEMARYTRAIL_REQUEST_UPSTREAM_SELECTOR_HPP
#define ROSEMARYTRAIL_REQUEST_UPSTREAM_SELECTOR_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/request/health_tracker.hpp>
#include <rosemarytrail/request/response_check.hpp>
#include <rosemarytrail/request/retry_budget.hpp>
#include <rosemarytrail/request/routing_table.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace rosemarytrail::request {

/** @brief Options of the upstream selection. */
struct selector_options
{
    health_options health{};
    retry_budget_options retries{};
    /**
     * @brief Initial backoff of an upstream that refused a request: others are
     * preferred while it lasts. Doubles with each consecutive refusal.
     */
    duration refusal_backoff{std::chrono::milliseconds{20}};
    /** @brief Maximum backoff after refusals. */
    duration max_refusal_backoff{std::chrono::seconds{1}};
    /** @brief Time constant of the exponential decay of a measured latency. */
    duration latency_decay_time{std::chrono::seconds{2}};
    /** @brief Minimum latency recorded for a failed request. */
    duration min_failure_latency{std::chrono::seconds{1}};
    /**
     * @brief Lower bound of the latency used in the score; upstreams below it
     * rank equally.
     */
    duration min_latency{std::chrono::milliseconds{1}};
    /** @brief Seed of the random choice. */
    std::uint64_t seed{1};
};

/** @brief Criteria of an upstream selection. */
struct selection_criteria
{
    service_id service{};
    /** @brief Upstreams that the same request has already tried. */
    std::span<const vm_id> tried{};
    /** @brief Write offset that a read must observe, if any. */
    std::optional<std::uint64_t> read_offset{};
    /** @brief Upstream at which the caller saw the write; may be empty. */
    vm_id preferred{};
};

/** @brief Selected upstream; `release` must be called when the request ends. */
struct upstream_choice
{
    service_id service{};
    vm_id vm{};
    std::string address;
    /**
     * @brief Highest write offset that the upstream is known to have reached.
     */
    std::uint64_t known_offset{};
};

/** @brief Result of a request to a selected upstream. */
struct upstream_result
{
    response_status status{response_status::whole};
    /** @brief Write offset in the response, if any. */
    std::optional<std::uint64_t> write_offset{};
    /** @brief Duration of the request. */
    duration elapsed{};
};

/**
 * @brief Returns the share of an upstream's slots and connections that one
 * entry VM may use.
 *
 * The shares of all entry VMs add up to the total if each knows its rank;
 * without a rank they are rounded up.
 * @param upstream Upstream to divide.
 * @param table Contains the number of entry VMs and the rank of this one.
 * @return Maximum requests in flight from this entry VM to the upstream.
 */
[[nodiscard]] std::uint32_t share_of(const upstream_view& upstream,
                                     const routing_table& table);

/**
 * @brief Selects upstreams by power of two random choices. Thread-safe.
 *
 * Tracks the requests in flight from this entry VM, the health of each upstream
 * and the retry budget of each service. Does not communicate with other entry
 * VMs.
 */
class upstream_selector
{
public:
    /** @param options Selection options. */
    explicit upstream_selector(const selector_options& options);

    /**
     * @brief Selects an upstream and allocates a slot on it.
     * @param table Current routing table.
     * @param criteria Selection criteria.
     * @param now Current time.
     * @param why Set if nothing is returned: `no_upstream` or `overloaded`.
     * @return Selected upstream.
     */
    [[nodiscard]] std::optional<upstream_choice>
    choose(const std::shared_ptr<const routing_table>& table,
           const selection_criteria& criteria, time_point now, reason& why);

    /**
     * @brief Releases a slot and updates the health of the upstream.
     * @param choice What `choose` returned.
     * @param result Result of the request.
     * @param now Current time.
     * @return True if this result ejected the upstream.
     */
    bool release(const upstream_choice& choice, const upstream_result& result,
                 time_point now);

    /**
     * @brief Returns how many concurrent requests a service runs for this entry
     * VM.
     * @param table Current routing table.
     * @param service Service to query.
     * @param now Current time.
     * @return Sum over the upstreams that are neither leaving nor ejected.
     */
    [[nodiscard]] std::uint32_t
    capacity(const std::shared_ptr<const routing_table>& table,
             const service_id& service, time_point now);

    /**
     * @brief Records a first attempt in the retry budget of a service.
     * @param service Service that receives the request.
     */
    void record_request(const service_id& service);

    /**
     * @brief Takes a retry from the budget of a service.
     * @param service Service that receives the request.
     * @return True if the budget allows the retry.
     */
    [[nodiscard]] bool take_retry(const service_id& service);

private:
    struct upstream_load
    {
        std::uint32_t in_flight{};
        std::uint64_t write_offset{};
        time_point backoff_until{};
        std::uint32_t consecutive_refusals{};
        /** @brief Peak latency, decayed since `measured_at`. */
        duration latency{};
        time_point measured_at{};
        health_tracker health{};
    };

    struct candidate
    {
        const upstream_view* view{};
        upstream_load* load{};
        std::uint32_t share{};
    };

    struct service_state
    {
        explicit service_state(const selector_options& options);

        std::mutex mutex;
        std::map<vm_id, upstream_load> loads;
        std::shared_ptr<const routing_table> indexed_table;
        std::vector<candidate> candidates;
        std::minstd_rand random;
        retry_budget retries;
    };

    /** @brief Up to two random available candidates of the best rank. */
    struct candidate_pair
    {
        const candidate* first{};
        const candidate* second{};
    };

    void record_refusal(upstream_load& load, time_point now) const;
    [[nodiscard]] duration decayed_latency(const upstream_load& load,
                                           time_point now) const;
    void record_latency(upstream_load& load, duration sample,
                        time_point now) const;
    [[nodiscard]] double score(const candidate& it, std::uint32_t entry_vms,
                               time_point now) const;
    [[nodiscard]] const candidate*
    best_candidate(service_state& state, const selection_criteria& criteria,
                   time_point now) const;
    [[nodiscard]] candidate_pair sample_pair(service_state& state,
                                             const selection_criteria& criteria,
                                             time_point now) const;
    [[nodiscard]] service_state& state_of(const service_id& service);
    static void index(service_state& state, const service_id& service,
                      const std::shared_ptr<const routing_table>& table);
    [[nodiscard]] static bool is_available(const candidate& it,
                                           const selection_criteria& criteria,
                                           time_point now);
    [[nodiscard]] bool is_deprioritized(service_state& state,
                                        const candidate& it,
                                        time_point now) const;
    [[nodiscard]] bool may_eject(const service_state& state,
                                 time_point now) const;

    selector_options options_;
    std::mutex mutex_;
    std::map<service_id, std::unique_ptr<service_state>> services_;
};

} // namespace rosemarytrail::request

#endif
