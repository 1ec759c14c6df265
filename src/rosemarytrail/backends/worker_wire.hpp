#ifndef ROSEMARYTRAIL_BACKENDS_WORKER_WIRE_HPP
#define ROSEMARYTRAIL_BACKENDS_WORKER_WIRE_HPP

#include <rosemarytrail/backends/worker_client.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::backends {

/**
 * @brief Encodes a batch for the worker's command interface.
 * @param batch Batch to encode.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode_worker_batch(const worker_batch& batch);

/**
 * @brief Decodes a batch.
 * @param text Received JSON.
 * @return The batch, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<worker_batch>
decode_worker_batch(std::string_view text);

/**
 * @brief Encodes an outcome as sent by the worker's command interface.
 * @param outcome Outcome to encode.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode_worker_outcome(const worker_outcome& outcome);

/**
 * @brief Decodes an outcome.
 * @param text Received JSON.
 * @return The outcome, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<worker_outcome>
decode_worker_outcome(std::string_view text);

} // namespace rosemarytrail::backends

#endif
