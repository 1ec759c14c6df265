#ifndef ROSEMARYTRAIL_REQUEST_INTENT_STORE_HPP
#define ROSEMARYTRAIL_REQUEST_INTENT_STORE_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace rosemarytrail::request {

/** @brief Identity of a request that must run at most once. */
struct intent_key
{
    team_id team{};
    service_id service{};
    /** @brief Idempotency key chosen by the caller. */
    std::string key;
    /**
     * @brief Hash of method, path, query and body; detects the reuse of a key
     * for a different one.
     */
    std::uint64_t fingerprint{};
};

/** @brief Response to a request, stored for replay. */
struct stored_response
{
    /**
     * @brief HTTP status; zero if the request may have run and its response is
     * unknown.
     */
    int status{};
    std::string content_type;
    std::string body;
};

/** @brief Result of opening an intent. */
enum class intent_status : std::uint8_t
{
    /** @brief The intent is new and recorded: run the request now. */
    run,
    /** @brief The request ran before: replay the stored response. */
    answered,
    /** @brief The request is running now: reject with `request_in_progress`. */
    in_progress,
    /** @brief The request may have run and its response is not available. */
    unknown,
    /** @brief The request was not run; the reason says why. */
    not_run
};

/** @brief Outcome of opening an intent. */
struct intent_outcome
{
    intent_status status{intent_status::not_run};
    stored_response answer{};
    /** @brief Why the request must not be run now. */
    reason why{};
};

/**
 * @brief Stores the intents of requests that run at most once.
 *
 * The first record for a key in the order of the log stream `intents` wins.
 * Only the entry VM that wrote it may dispatch the request, and only after it
 * has read the record back. Called by traffic threads.
 */
class intent_store
{
public:
    virtual ~intent_store() = default;

    /**
     * @brief Records the intent to run a request.
     * @param key Identity of the request.
     * @param deadline Time at which a pending intent ends with `not_run`.
     * @param done Called exactly once with the outcome, on any thread, possibly
     * before this call returns.
     */
    virtual void open(intent_key key, time_point deadline,
                      std::function<void(intent_outcome)> done) = 0;

    /**
     * @brief Records how the request ended.
     * @param key Identity of the request.
     * @param ran False if the request was certainly not executed; the key can
     * then be used again.
     * @param answer Response to store if the request ran.
     */
    virtual void close(const intent_key& key, bool ran,
                       stored_response answer) = 0;
};

} // namespace rosemarytrail::request

#endif
