#ifndef ROSEMARYTRAIL_CELL_WORKER_BATCH_HPP
#define ROSEMARYTRAIL_CELL_WORKER_BATCH_HPP

#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/fleet/worker_calls.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rosemarytrail::cell {

/** @brief Call to a worker that another node makes for the leader. */
struct worker_call
{
    /** @brief Number of the call, unique within the leader's process. */
    std::uint64_t id{};
    std::variant<fleet::start_request, fleet::stop_request,
                 fleet::throttle_request, fleet::poll_request>
        request;
};

/** @brief Result of a poll and, if the worker responded, its response. */
struct poll_answer
{
    fleet::poll_result result{fleet::poll_result::failed};
    fleet::poll_response response;
};

/** @brief Result of a relayed call. */
struct worker_call_result
{
    std::uint64_t id{};
    /** @brief For a stop or a throttle request: whether the worker acknowledged
     * it. */
    std::variant<fleet::start_response, bool, poll_answer> result;
};

/** @brief Calls that a leader sends to a relay in one message. */
struct worker_call_batch
{
    /** @brief Name of the relay's incarnation; any other one rejects them. */
    std::string relay;
    /** @brief Name of the leader, which receives the results. */
    std::string leader;
    std::vector<std::shared_ptr<const worker_call>> calls;
};

/** @brief Results that a relay sends to the leader in one message. */
struct worker_result_batch
{
    /** @brief Name of the leader's incarnation; any other one rejects them. */
    std::string leader;
    std::vector<worker_call_result> results;
};

/**
 * @brief Makes a call.
 * @param workers Calls the worker.
 * @param call Call.
 * @param done Called once with the result.
 */
void make_call(worker_port& workers, const worker_call& call,
               const std::function<void(worker_call_result)>& done);

/**
 * @brief Encodes calls; a payload that several of them share is included once.
 * @param batch Calls.
 * @return Encoded calls.
 */
[[nodiscard]] std::string encode_calls(const worker_call_batch& batch);

/**
 * @brief Decodes calls.
 * @param bytes Encoded calls.
 * @return Calls, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<worker_call_batch>
decode_calls(std::string_view bytes);

/**
 * @brief Encodes results.
 * @param batch Results.
 * @return Encoded results.
 */
[[nodiscard]] std::string encode_results(const worker_result_batch& batch);

/**
 * @brief Decodes results.
 * @param bytes Encoded results.
 * @return Results, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<worker_result_batch>
decode_results(std::string_view bytes);

} // namespace rosemarytrail::cell

#endif
