#ifndef ROSEMARYTRAIL_DOCUMENTS_KEY_SECRET_HPP
#define ROSEMARYTRAIL_DOCUMENTS_KEY_SECRET_HPP

#include <rosemarytrail/core/id.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::documents {

/** @brief Key as a client account shows it: `<key id>.<secret>`. */
struct key_secret
{
    key_id key{};
    std::string secret{};
};

/**
 * @brief Splits what a client account shows.
 * @param shown Text of the form `<key id>.<secret>`.
 * @return Its parts, or nothing if it has no such form.
 */
[[nodiscard]] std::optional<key_secret> parse_key(std::string_view shown);

/** @return Fresh salt of 16 random bytes, in hexadecimal. */
[[nodiscard]] std::string make_salt();

/** @return Fresh secret of 32 random bytes, in hexadecimal. */
[[nodiscard]] std::string make_secret();

/**
 * @brief Hashes a secret with BLAKE2b.
 * @param salt Salt, in hexadecimal.
 * @param secret Secret.
 * @return Hash, in hexadecimal.
 */
[[nodiscard]] std::string hash_secret(std::string_view salt,
                                      std::string_view secret);

/**
 * @brief Compares two hashes in constant time.
 * @param lhs First hash.
 * @param rhs Second hash.
 * @return True if they are equal.
 */
[[nodiscard]] bool same_hash(std::string_view lhs,
                             std::string_view rhs) noexcept;

} // namespace rosemarytrail::documents

#endif
