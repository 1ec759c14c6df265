#ifndef ROSEMARYTRAIL_REQUEST_UPSTREAM_SELECTOR_HPP
#define ROSEMARYTRAIL_REQUEST_UPSTREAM_SELECTOR_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/request/answer_check.hpp>
#include <rosemarytrail/request/health_tracker.hpp>
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

/** @brief How upstreams are chosen. */
struct selector_options
{
    health_options health{};
    retry_budget_options retries{};
    /** @brief Time for which others go before one that refused a request. */
    duration refusal_rest{std::chrono::milliseconds{20}};
    /** @brief Longest such time; it doubles with each refusal in a row. */
    duration refusal_rest_cap{std::chrono::seconds{1}};
    /** @brief Time constant with which a measured latency is forgotten. */
    duration latency_memory{std::chrono::seconds{2}};
    /** @brief Latency that a failure counts as. */
    duration failure_latency{std::chrono::seconds{1}};
    /** @brief Least latency that tells upstreams apart. */
    duration least_latency{std::chrono::milliseconds{1}};
    /** @brief Seed of the random choice. */
    std::uint64_t seed{1};
};

/** @brief What a choice depends on. */
struct choice_demand
{
    service_id service{};
    /** @brief Upstreams tried before by the same request. */
    std::span<const vm_id> tried{};
    /** @brief Write offset that a read must have reached, if any. */
    std::optional<std::uint64_t> read_offset{};
    /** @brief Upstream that the caller saw the write at; may be empty. */
    vm_id preferred{};
};

/** @brief Upstream that was chosen; `release` gives its place back. */
struct upstream_choice
{
    service_id service{};
    vm_id vm{};
    std::string address;
    /** @brief Greatest write offset that it is known to have reached. */
    std::uint64_t known_offset{};
};

/** @brief How a request to a chosen upstream ended. */
struct upstream_result
{
    answer_verdict verdict{answer_verdict::whole};
    /** @brief Write offset that its answer bore, if any. */
    std::optional<std::uint64_t> write_offset{};
    /** @brief Time that the request took. */
    duration elapsed{};
};

/**
 * @brief Part of the upstream's slots and connections that one entry VM uses.
 *
 * The parts of all entry VMs add up to the slots if each knows its rank;
 * without a rank they are rounded up.
 * @param upstream Upstream to divide.
 * @param table Number and rank of the entry VM.
 * @return Requests that this entry VM may have in flight to it.
 */
[[nodiscard]] std::uint32_t share_of(const upstream_view& upstream,
                                     const routing_table& table);

/**
 * @brief Chooses upstreams by power of two choices; any thread may call it.
 *
 * It keeps what this entry VM has in flight, the health of each upstream and
 * the retry budget of each service, and asks no other entry VM.
 */
class upstream_selector
{
public:
    /** @param options How to choose. */
    explicit upstream_selector(const selector_options& options);

    /**
     * @brief Chooses an upstream and takes a place on it.
     * @param table Newest table.
     * @param demand What the choice depends on.
     * @param now Present time.
     * @param why Set if nothing is returned: `no_upstream` or `overloaded`.
     * @return The choice.
     */
    [[nodiscard]] std::optional<upstream_choice>
    choose(const std::shared_ptr<const routing_table>& table,
           const choice_demand& demand, time_point now, reason& why);

    /**
     * @brief Gives a place back and takes in the evidence.
     * @param choice What `choose` returned.
     * @param result How the request ended.
     * @param now Present time.
     * @return True if the upstream was ejected by it.
     */
    bool release(const upstream_choice& choice, const upstream_result& result,
                 time_point now);

    /**
     * @brief Requests that a service runs at once for this entry VM.
     * @param table Newest table.
     * @param service Service to measure.
     * @param now Present time.
     * @return Sum over the upstreams that are neither leaving nor ejected.
     */
    [[nodiscard]] std::uint32_t
    capacity(const std::shared_ptr<const routing_table>& table,
             const service_id& service, time_point now);

    /** @param service Service that gets a first attempt. */
    void note_request(const service_id& service);

    /**
     * @brief Asks the budget of a service for a retry.
     * @param service Service to ask for.
     * @return True if it may be made.
     */
    [[nodiscard]] bool take_retry(const service_id& service);

private:
    struct upstream_load
    {
        std::uint32_t in_flight{};
        std::uint64_t write_offset{};
        time_point resting_until{};
        std::uint32_t refusals_in_row{};
        /** @brief Greatest latency seen, less what was forgotten since. */
        duration latency{};
        time_point measured{};
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
        std::shared_ptr<const routing_table> indexed;
        std::vector<candidate> candidates;
        std::minstd_rand random;
        retry_budget retries;
    };

    /** @brief Two open candidates of the best class, at random. */
    struct candidate_pair
    {
        const candidate* first{};
        const candidate* second{};
    };

    void note_refusal(upstream_load& load, time_point now) const;
    [[nodiscard]] duration latency_of(const upstream_load& load,
                                      time_point now) const;
    void note_latency(upstream_load& load, duration sample,
                      time_point now) const;
    [[nodiscard]] double score(const candidate& it, std::uint32_t entry_vms,
                               time_point now) const;
    [[nodiscard]] const candidate* best_of(service_state& state,
                                           const choice_demand& demand,
                                           time_point now) const;
    [[nodiscard]] candidate_pair draw_pair(service_state& state,
                                           const choice_demand& demand,
                                           time_point now) const;
    [[nodiscard]] service_state& state_of(const service_id& service);
    static void index(service_state& state, const service_id& service,
                      const std::shared_ptr<const routing_table>& table);
    [[nodiscard]] static bool
    is_open(const candidate& it, const choice_demand& demand, time_point now);
    [[nodiscard]] bool stands_back(service_state& state, const candidate& it,
                                   time_point now) const;
    [[nodiscard]] bool may_eject(const service_state& state,
                                 time_point now) const;

    selector_options options_;
    std::mutex mutex_;
    std::map<service_id, std::unique_ptr<service_state>> services_;
};

} // namespace rosemarytrail::request

#endif
