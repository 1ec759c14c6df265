#ifndef ROSEMARYTRAIL_PROXY_SERVICE_REQUEST_HPP
#define ROSEMARYTRAIL_PROXY_SERVICE_REQUEST_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/message.hpp>
#include <rosemarytrail/request/routing_table.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace rosemarytrail::proxy {

/** @brief What the head of a request to a service says. */
struct service_request
{
    service_id service{};
    /** @brief Path below the service, without a leading slash. */
    std::string path;
    /** @brief May run twice without harm. */
    bool idempotent{true};
    /** @brief Key of a request that is not idempotent. */
    std::string idempotency_key;
    /** @brief Write offset that a read must have reached. */
    std::optional<std::uint64_t> read_offset{};
    /** @brief Upstream at which the caller saw the write; may be empty. */
    vm_id read_upstream{};
    /** @brief Span within which the caller wants the answer. */
    duration timeout{};
    /** @brief The caller sent it before; it is not retried here. */
    bool retried{false};
};

/**
 * @brief Reads and checks the head of a request to a service.
 * @param head Request, with or without its body.
 * @param longest Longest time for a request; also the default.
 * @param why Set if nothing is returned: `path_unknown`, `usage` or
 * `idempotency_key_missing`.
 * @return What it says.
 */
[[nodiscard]] std::optional<service_request>
parse_service_request(const http::request& head, duration longest, reason& why);

/**
 * @brief Tells whether the caller marked a request as sent before.
 *
 * Such a sending is never told that it did not run, since the one before may
 * have run.
 * @param head Request, with or without its body.
 * @return True if it bears `X-Retried`.
 */
[[nodiscard]] bool was_sent_before(const http::request& head) noexcept;

/**
 * @brief Hashes what tells requests with the same idempotency key apart.
 * @param incoming Whole request.
 * @return Hash of method, path, query and body.
 */
[[nodiscard]] std::uint64_t fingerprint(const http::request& incoming);

} // namespace rosemarytrail::proxy

#endif
