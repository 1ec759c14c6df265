#ifndef ROSEMARYTRAIL_LOAD_EXPERIMENT_HPP
#define ROSEMARYTRAIL_LOAD_EXPERIMENT_HPP

#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::load {

/** @brief Where requests go; several are compared in one run. */
struct target
{
    /** @brief Name in the results; `name`. */
    std::string name;
    /** @brief Addresses that requests go to in turn; `urls`. */
    std::vector<std::string> urls;
    /**
     * @brief Path that answers 200 while a url's host takes work; requests go
     * to such hosts only, as by a balancer; `ready_path`; may be empty.
     */
    std::string ready_path{};
    /** @brief Key to show, `<key id>.<secret>`; `key`; may be empty. */
    std::string key;
};

/** @brief Span with one rate. */
struct phase
{
    /** @brief Name in the results; `name`. */
    std::string name;
    /** @brief How long requests are sent; `seconds`; 0.01 to 3600. */
    duration span{std::chrono::seconds{1}};
    /** @brief Requests a second to each target; `rate`; up to 1000000. */
    double rate{1.0};
    /** @brief Fraction of POST, each with a fresh key; `post_fraction`. */
    double post_fraction{0.0};
    /** @brief Time for a request; `timeout_ms`; 1 to 600000. */
    duration timeout{std::chrono::seconds{2}};
    /** @brief Bytes of the body of a POST; `body_bytes`; up to 1 MiB. */
    std::size_t body_bytes{64};
    /** @brief Whether its results are left out; `warm_up`. */
    bool warm_up{false};
};

/** @brief What a run of the load tool does. */
struct experiment
{
    /** @brief Seed of arrival times and methods; `seed`. */
    std::uint64_t seed{1};
    /** @brief Event-loop threads; `threads`; 1 to 64. */
    unsigned threads{1};
    /** @brief Connections to each host and port; `connections`; to 65536. */
    long connections{64};
    /** @brief Requests in flight at most; `in_flight`; to 1000000. */
    std::size_t in_flight{20000};
    /** @brief At least one; `targets`. */
    std::vector<target> targets;
    /** @brief At least one, one after the other; `phases`. */
    std::vector<phase> phases;
};

/**
 * @brief Checks and reads an experiment.
 * @param text JSON.
 * @param why Set if nothing is returned: field, value and what is allowed.
 * @return The experiment.
 */
[[nodiscard]] std::optional<experiment> parse_experiment(std::string_view text,
                                                         reason& why);

} // namespace rosemarytrail::load

#endif
