#ifndef ROSEMARYTRAIL_CLI_ENTRY_CLIENT_HPP
#define ROSEMARYTRAIL_CLI_ENTRY_CLIENT_HPP

#include <rosemarytrail/cli/exit_code.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cli {

/** @brief What sending a call twice may do. */
enum class effect : std::uint8_t
{
    /** @brief Reads only. */
    none,
    /** @brief Changes something; twice does what once does. */
    idempotent,
    /** @brief Changes something; must not be sent twice. */
    once
};

/** @brief Call to the HTTP interface of an entry VM. */
struct call
{
    std::string method{"GET"};
    /** @brief Path and query. */
    std::string path;
    std::vector<http::header> headers{};
    std::string body{};
    effect changes{effect::none};
};

/** @brief What became of a call. */
struct reply
{
    exit_code result{exit_code::unreachable};
    /** @brief Whole answer, if one came. */
    std::optional<http::response> answer{};
    /** @brief Set unless the result is `ok`. */
    reason why{};
    /** @brief Whether it is certain that nothing took effect. */
    bool not_run{true};
};

/** @brief Sends calls to the first entry VM that takes them. */
class entry_client
{
public:
    /**
     * @brief Prepares a client.
     * @param client Sends the requests; outlives this.
     * @param entries Addresses of entry VMs, in the order to try.
     * @param timeout Longest time for one entry VM.
     */
    entry_client(http::client& client, std::vector<std::string> entries,
                 duration timeout);

    /**
     * @brief Sends a call.
     *
     * The next entry VM is tried where the call was not sent, or was refused
     * with "not run", or where it may have run and is not `effect::once`.
     * @param it Call to send.
     * @return What became of it.
     */
    [[nodiscard]] reply send(const call& it);

private:
    [[nodiscard]] http::client_response send_to(const std::string& entry,
                                                const call& it);

    http::client& client_;
    std::vector<std::string> entries_;
    duration timeout_;
};

/**
 * @brief Encodes text as one segment of a path.
 * @param text Text to encode.
 * @return Letters, digits, `-`, `_`, `.` and escapes of the rest.
 */
[[nodiscard]] std::string encode_segment(std::string_view text);

} // namespace rosemarytrail::cli

#endif
