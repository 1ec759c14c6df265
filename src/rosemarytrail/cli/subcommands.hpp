#ifndef ROSEMARYTRAIL_CLI_SUBCOMMANDS_HPP
#define ROSEMARYTRAIL_CLI_SUBCOMMANDS_HPP

#include <rosemarytrail/cli/command.hpp>

namespace rosemarytrail::cli {

/**
 * @brief Checks a settings file or a document without an entry VM.
 * @param it What it works with.
 * @return How it ended.
 */
[[nodiscard]] exit_code run_check(const context& it);

/** @copydoc run_check */
[[nodiscard]] exit_code run_operator_key(const context& it);

/**
 * @brief Publishes a document of a team or a key.
 * @param it What it works with.
 * @return How it ended.
 */
[[nodiscard]] exit_code run_publish(const context& it);

/** @copydoc run_publish */
[[nodiscard]] exit_code run_key_give(const context& it);

/** @copydoc run_publish */
[[nodiscard]] exit_code run_key_withdraw(const context& it);

/**
 * @brief Submits a job.
 * @param it What it works with.
 * @return How it ended.
 */
[[nodiscard]] exit_code run_submit(const context& it);

/** @copydoc run_submit */
[[nodiscard]] exit_code run_cancel(const context& it);

/**
 * @brief Shows the status of a job, once or until it has a phase.
 * @param it What it works with.
 * @return How it ended.
 */
[[nodiscard]] exit_code run_status(const context& it);

/** @copydoc run_status */
[[nodiscard]] exit_code run_explain(const context& it);

/** @copydoc run_status */
[[nodiscard]] exit_code run_list(const context& it);

/**
 * @brief Shows members and partitions, or counters.
 * @param it What it works with.
 * @return How it ended.
 */
[[nodiscard]] exit_code run_members(const context& it);

/** @copydoc run_members */
[[nodiscard]] exit_code run_counters(const context& it);

/**
 * @brief Sends one request to a service and writes its answer.
 * @param it What it works with.
 * @return How it ended.
 */
[[nodiscard]] exit_code run_request(const context& it);

} // namespace rosemarytrail::cli

#endif
