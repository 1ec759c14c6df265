#ifndef ROSEMARYTRAIL_REQUEST_AUTHENTICATOR_HPP
#define ROSEMARYTRAIL_REQUEST_AUTHENTICATOR_HPP

#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/request/routing_table.hpp>

#include <optional>
#include <string_view>

namespace rosemarytrail::request {

/**
 * @brief Checks whether this entry VM accepts requests.
 * @param table Current routing table.
 * @param now Current time.
 * @param why Set if false: `catching_up`, `draining` or `not_fresh`.
 * @return True if it accepts requests.
 */
[[nodiscard]] bool accepts_work(const routing_table& table, time_point now,
                                reason& why);

/**
 * @brief Authenticates the API key of a caller.
 *
 * Takes the same time for an unknown key as for a wrong secret, so that timing
 * does not reveal which keys exist.
 * @param table Current routing table.
 * @param authorization Value of the `Authorization` header, if present.
 * @param now Current time.
 * @param why Set if nothing is returned: as `accepts_work`, or `key_missing`,
 * `key_unknown` or `key_withdrawn`.
 * @return Valid key; lives as long as the table.
 */
[[nodiscard]] const key_spec*
authenticate(const routing_table& table,
             std::optional<std::string_view> authorization, time_point now,
             reason& why);

} // namespace rosemarytrail::request

#endif
