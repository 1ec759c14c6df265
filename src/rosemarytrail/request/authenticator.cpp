#include <rosemarytrail/request/authenticator.hpp>

#include <rosemarytrail/documents/key_secret.hpp>

#include <string>

namespace rosemarytrail::request {

namespace {

constexpr std::string_view scheme{"Bearer "};
constexpr duration refresh_retry_delay{std::chrono::milliseconds{500}};
constexpr duration drain_retry_delay{std::chrono::milliseconds{100}};

/**
 * @brief Placeholder for an unknown key, so that rejecting it takes as long as
 * rejecting a wrong secret.
 */
const key_spec& unknown_key()
{
    static const key_spec spec{.salt = std::string(32, '0'),
                               .hash = std::string(64, '0')};
    return spec;
}

const key_spec* refuse(reason& why, result_code code, std::string detail)
{
    why = {.code = code, .detail = std::move(detail)};
    return nullptr;
}

} // namespace

bool accepts_work(const routing_table& table, time_point now, reason& why)
{
    if (table.draining) {
        why = {.code = result_code::draining, .retry_after = drain_retry_delay};
        return false;
    }
    if (table.catching_up) {
        why = {.code = result_code::catching_up,
               .retry_after = refresh_retry_delay};
        return false;
    }
    if (now >= table.fresh_until) {
        why = {.code = result_code::not_fresh,
               .retry_after = refresh_retry_delay};
        return false;
    }
    return true;
}

const key_spec* authenticate(const routing_table& table,
                             std::optional<std::string_view> authorization,
                             time_point now, reason& why)
{
    if (!accepts_work(table, now, why)) {
        return nullptr;
    }
    if (!authorization || !authorization->starts_with(scheme)) {
        return refuse(why, result_code::key_missing,
                      "Authorization: Bearer <key id>.<secret> is required");
    }
    const auto presented =
        documents::parse_key(authorization->substr(scheme.size()));
    if (!presented) {
        return refuse(why, result_code::key_unknown,
                      "the key does not have the form <key id>.<secret>");
    }
    const auto it = table.keys.find(presented->key);
    const bool known = it != table.keys.end();
    const key_spec& spec = known ? it->second : unknown_key();
    const auto hash = documents::hash_secret(spec.salt, presented->secret);
    if (!documents::same_hash(hash, spec.hash) || !known) {
        return refuse(why, result_code::key_unknown, {});
    }
    if (spec.withdrawn) {
        return refuse(why, result_code::key_withdrawn,
                      "key " + presented->key.str() + " was withdrawn");
    }
    return &spec;
}

} // namespace rosemarytrail::request
