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

/** @brief Parsed head of a request to a service. */
struct service_request
{
    service_id service{};
    /** @brief Path within the service, without a leading slash. */
    std::string path;
    /**
     * @brief The method is idempotent, so the request may run more than once.
     */
    bool idempotent{true};
    /** @brief Idempotency key; set only if the method is not idempotent. */
    std::string idempotency_key;
    /** @brief Write offset that a read must observe, if any. */
    std::optional<std::uint64_t> read_offset{};
    /** @brief Upstream at which the caller saw the write; may be empty. */
    vm_id read_upstream{};
    /** @brief Time within which the caller expects the response. */
    duration timeout{};
    /**
     * @brief The caller marked the request as a retry; the proxy does not retry
     * it again.
     */
    bool retried{false};
};

/**
 * @brief Parses and validates the head of a request to a service.
 * @param head Request, with or without its body.
 * @param max_timeout Maximum and default timeout of a request.
 * @param why Set if nothing is returned: `path_unknown`, `usage` or
 * `idempotency_key_missing`.
 * @return Parsed head.
 */
[[nodiscard]] std::optional<service_request>
parse_service_request(const http::request& head, duration max_timeout,
                      reason& why);

/**
 * @brief Checks whether the caller marked a request as sent before.
 *
 * A refusal of such a request never reports that it did not run, because the
 * previous attempt may have run.
 * @param head Request, with or without its body.
 * @return True if it has the header `X-Retried`.
 */
[[nodiscard]] bool was_sent_before(const http::request& head) noexcept;

/**
 * @brief Computes a hash that distinguishes requests with the same idempotency
 * key.
 * @param incoming Complete request.
 * @return Hash of method, path, query and body.
 */
[[nodiscard]] std::uint64_t fingerprint(const http::request& incoming);

} // namespace rosemarytrail::proxy

#endif
