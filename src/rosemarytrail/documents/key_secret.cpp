#include <rosemarytrail/documents/key_secret.hpp>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <span>

namespace rosemarytrail::documents {

namespace {

constexpr std::size_t salt_bytes = 16;
constexpr std::size_t secret_bytes = 32;
constexpr std::size_t hash_bytes = crypto_generichash_BYTES;

/** @brief Prepares libsodium; a process without a random source must end. */
void prepare() noexcept
{
    static const bool ready = sodium_init() >= 0;
    if (!ready) {
        std::abort();
    }
}

std::string to_hexadecimal(std::span<const unsigned char> bytes)
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

template <std::size_t Size>
std::string make_random()
{
    prepare();
    std::array<unsigned char, Size> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return to_hexadecimal(bytes);
}

void update(crypto_generichash_state& state, std::string_view text) noexcept
{
    crypto_generichash_update(
        &state, reinterpret_cast<const unsigned char*>(text.data()),
        text.size());
}

} // namespace

std::optional<key_secret> parse_key(std::string_view shown)
{
    const auto dot = shown.find('.');
    if (dot == 0 || dot == std::string_view::npos || dot + 1 == shown.size()) {
        return std::nullopt;
    }
    return key_secret{.key = key_id{std::string{shown.substr(0, dot)}},
                      .secret = std::string{shown.substr(dot + 1)}};
}

std::string make_salt()
{
    return make_random<salt_bytes>();
}

std::string make_secret()
{
    return make_random<secret_bytes>();
}

std::string hash_secret(std::string_view salt, std::string_view secret)
{
    prepare();
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, hash_bytes);
    update(state, salt);
    // No salt holds the separator, so no two inputs hash the same bytes.
    update(state, ":");
    update(state, secret);
    std::array<unsigned char, hash_bytes> digest{};
    crypto_generichash_final(&state, digest.data(), digest.size());
    return to_hexadecimal(digest);
}

bool same_hash(std::string_view lhs, std::string_view rhs) noexcept
{
    return lhs.size() == rhs.size() &&
           sodium_memcmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

} // namespace rosemarytrail::documents
