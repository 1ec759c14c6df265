#ifndef ROSEMARYTRAIL_STANDIN_PROGRAM_HPP
#define ROSEMARYTRAIL_STANDIN_PROGRAM_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/standin/fault_fields.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace rosemarytrail::standin {

/**
 * @brief Blocks SIGTERM and SIGINT in this thread and those started after, so
 * that run_until_signal() gets them.
 */
void block_signals();

/**
 * @brief Starts a server; writes the reason to the standard error if it fails.
 * @param server Server to start.
 * @return Its port, or nothing.
 */
[[nodiscard]] std::optional<std::uint16_t> listen(http::server& server);

/**
 * @brief Waits for SIGTERM or SIGINT.
 * @param period Span between calls of the function; zero calls it never.
 * @param function Called now and then.
 */
void run_until_signal(duration period, const std::function<void()>& function);

/** @brief Waits for SIGTERM or SIGINT. */
void run_until_signal();

/**
 * @brief Reads faults from a flag; writes what is wrong to the standard error.
 * @param text JSON, or nothing at all.
 * @return The faults, or nothing.
 */
template <typename Faults>
[[nodiscard]] std::optional<Faults> faults_of_flag(const std::string& text);

/**
 * @brief Serves one handler until a signal; the body of most stand-ins.
 * @param options How to listen.
 * @param target Receives the requests.
 * @return Exit code of the program.
 */
[[nodiscard]] int serve_until_signal(const http::server_options& options,
                                     http::handler& target);

/**
 * @brief Writes one line on the standard error.
 * @param text Line to write.
 */
void complain(const std::string& text);

template <typename Faults>
std::optional<Faults> faults_of_flag(const std::string& text)
{
    if (text.empty()) {
        return Faults{};
    }
    const auto result = update_faults(Faults{}, text);
    if (!result) {
        complain("--control has an unknown or wrong field: " + text);
    }
    return result;
}

} // namespace rosemarytrail::standin

#endif
