#ifndef ROSEMARYTRAIL_BACKENDS_WORKER_WIRE_HPP
#define ROSEMARYTRAIL_BACKENDS_WORKER_WIRE_HPP

#include <rosemarytrail/backends/worker_client.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::backends {

/**
 * @brief Writes a batch as the worker's command interface takes it.
 * @param batch Batch to write.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode_worker_batch(const worker_batch& batch);

/**
 * @brief Reads a batch.
 * @param text What a caller sent.
 * @return The batch, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<worker_batch>
decode_worker_batch(std::string_view text);

/**
 * @brief Writes an outcome as the worker's command interface gives it.
 * @param outcome Outcome to write.
 * @return JSON on one line.
 */
[[nodiscard]] std::string encode_worker_outcome(const worker_outcome& outcome);

/**
 * @brief Reads an outcome.
 * @param text What a worker answered.
 * @return The outcome, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<worker_outcome>
decode_worker_outcome(std::string_view text);

} // namespace rosemarytrail::backends

#endif
