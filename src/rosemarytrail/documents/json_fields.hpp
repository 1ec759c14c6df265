#ifndef ROSEMARYTRAIL_DOCUMENTS_JSON_FIELDS_HPP
#define ROSEMARYTRAIL_DOCUMENTS_JSON_FIELDS_HPP

#include <rosemarytrail/core/reason.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace rosemarytrail::documents {

/** @brief Type that a field must have. */
enum class field_type : std::uint8_t
{
    text,
    integer,
    number,
    boolean,
    object
};

/** @brief Row of a table that says what one field may hold. */
struct field_rule
{
    std::string_view name{};
    field_type type{field_type::text};
    bool required{false};
    /** @brief Least value of an integer or number. */
    double least{};
    /** @brief Greatest value of an integer or number. */
    double most{};
    /** @brief Tells whether a text is allowed; null allows any. */
    bool (*accepts)(std::string_view){nullptr};
    /** @brief What a text may be, for people. */
    std::string_view allowed{};
};

/** @brief Codes that a kind of file reports its faults by. */
struct field_codes
{
    result_code not_json;
    result_code unknown;
    result_code type;
    result_code range;
    result_code missing;
};

/**
 * @brief Reads one JSON object; a field that is given twice is a fault.
 * @param text JSON.
 * @param codes Codes for the faults.
 * @param why Set if nothing is returned.
 * @return The object.
 */
[[nodiscard]] std::optional<nlohmann::json>
parse_object(std::string_view text, const field_codes& codes, reason& why);

/**
 * @brief Checks an object against a table of its fields.
 * @param object Object to check.
 * @param rules One row for each field that is known.
 * @param codes Codes for the faults.
 * @param prefix Path of the object, such as `request.`; empty at the top.
 * @param why Set on a fault: field, value and what is allowed, in one line.
 * @return True if each field is known, of its type and in range, and each
 * required one is there.
 */
[[nodiscard]] bool check_fields(const nlohmann::json& object,
                                std::span<const field_rule> rules,
                                const field_codes& codes,
                                std::string_view prefix, reason& why);

/**
 * @brief Writes the line about a value that is not allowed.
 * @param field Path of the field.
 * @param value Value that was found.
 * @param allowed What is allowed.
 * @return Line of the form `field F is V; allowed: A`.
 */
[[nodiscard]] std::string describe_fault(std::string_view field,
                                         const nlohmann::json& value,
                                         std::string_view allowed);

/**
 * @brief Tells whether a text can name a thing.
 * @param text Text to check.
 * @return True for 1 to 64 of letters, digits, `-` and `_`.
 */
[[nodiscard]] bool is_identifier(std::string_view text) noexcept;

/** @brief What `is_identifier` accepts, for people. */
inline constexpr std::string_view identifier_allowed =
    "1 to 64 letters, digits, '-' or '_'";

/**
 * @brief Tells whether a text is a salt as `make_salt` writes it.
 * @param text Text to check.
 * @return True for 32 lower-case hexadecimal digits.
 */
[[nodiscard]] bool is_salt(std::string_view text) noexcept;

/** @brief What `is_salt` accepts, for people. */
inline constexpr std::string_view salt_allowed =
    "32 lower-case hexadecimal digits";

/**
 * @brief Tells whether a text is a hash as `hash_secret` writes it.
 * @param text Text to check.
 * @return True for 64 lower-case hexadecimal digits.
 */
[[nodiscard]] bool is_hash(std::string_view text) noexcept;

/** @brief What `is_hash` accepts, for people. */
inline constexpr std::string_view hash_allowed =
    "64 lower-case hexadecimal digits";

} // namespace rosemarytrail::documents

#endif
