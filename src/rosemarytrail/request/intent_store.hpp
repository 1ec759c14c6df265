#ifndef ROSEMARYTRAIL_REQUEST_INTENT_STORE_HPP
#define ROSEMARYTRAIL_REQUEST_INTENT_STORE_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace rosemarytrail::request {

/** @brief Identity of a request that may not be repeated. */
struct intent_key
{
    team_id team{};
    service_id service{};
    /** @brief Idempotency key that the caller chose. */
    std::string key;
    /** @brief Hash of method, path and body; tells another request apart. */
    std::uint64_t fingerprint{};
};

/** @brief Answer that was given to a request; kept to be given again. */
struct kept_answer
{
    /** @brief Status; zero if the request may have run and none is known. */
    int status{};
    std::string content_type;
    std::string body;
};

/** @brief What the store says to the opening of an intent. */
enum class intent_verdict : std::uint8_t
{
    /** @brief The intent is recorded and new: run the request now. */
    run,
    /** @brief It ran before: give the kept answer. */
    answered,
    /** @brief It is running now: `request_in_progress`. */
    in_progress,
    /** @brief It may have run and the answer is not known. */
    unknown,
    /** @brief Nothing was recorded and it did not run; see the reason. */
    not_run
};

/** @brief Outcome of the opening of an intent. */
struct intent_outcome
{
    intent_verdict verdict{intent_verdict::not_run};
    kept_answer answer{};
    /** @brief Why it was not run. */
    reason why{};
};

/**
 * @brief Keeps the intents of requests that run at most once.
 *
 * The first record for a key in the order of the log's stream `intents` wins;
 * only the entry VM that wrote it may dispatch the request, and only after it
 * has read its record back. Traffic threads call the store.
 */
class intent_store
{
public:
    virtual ~intent_store() = default;

    /**
     * @brief Records the intent to run a request.
     * @param key Its identity.
     * @param deadline When to give up with `not_run`.
     * @param done Called once with the outcome, on any thread, perhaps before
     * this call returns.
     */
    virtual void open(intent_key key, time_point deadline,
                      std::function<void(intent_outcome)> done) = 0;

    /**
     * @brief Records how the request ended.
     * @param key Its identity.
     * @param ran False if it is certain that it did not run; the key is then
     * free again.
     * @param answer Answer to keep if it ran.
     */
    virtual void close(const intent_key& key, bool ran, kept_answer answer) = 0;
};

} // namespace rosemarytrail::request

#endif
