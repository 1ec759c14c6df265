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
 * @brief Tells whether this entry VM takes requests at all.
 * @param table Newest table.
 * @param now Present time.
 * @param why Set if false: `catching_up`, `draining` or `not_fresh`.
 * @return True if it does.
 */
[[nodiscard]] bool accepts_work(const routing_table& table, time_point now,
                                reason& why);

/**
 * @brief Finds the key that a caller shows.
 *
 * Takes the same time for an unknown key and a wrong secret.
 * @param table Newest table.
 * @param authorization Value of the header `Authorization`, if there is one.
 * @param now Present time.
 * @param why Set if nothing is returned: as `accepts_work`, or `key_missing`,
 * `key_unknown` or `key_withdrawn`.
 * @return Key in force; it lives as long as the table.
 */
[[nodiscard]] const key_spec*
authenticate(const routing_table& table,
             std::optional<std::string_view> authorization, time_point now,
             reason& why);

} // namespace rosemarytrail::request

#endif
