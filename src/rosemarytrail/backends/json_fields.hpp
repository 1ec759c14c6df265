#ifndef ROSEMARYTRAIL_BACKENDS_JSON_FIELDS_HPP
#define ROSEMARYTRAIL_BACKENDS_JSON_FIELDS_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/time.hpp>

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace rosemarytrail::backends {

using json = nlohmann::json;

/**
 * @brief Parses text that came from outside.
 * @param text JSON, or anything else.
 * @return The value; a discarded one if the text is no JSON.
 */
[[nodiscard]] inline json parse_json(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

/**
 * @brief Writes a value on one line.
 * @param value Value to write.
 * @return Its text; bytes that are no UTF-8 are replaced.
 */
[[nodiscard]] inline std::string dump_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/**
 * @brief Reads the fields of one object and remembers whether all were right.
 *
 * Fields that are not there keep the default; others must have the right type
 * and range.
 */
class field_reader
{
public:
    /** @param object Value to read from; no object counts as a fault. */
    explicit field_reader(const json& object) noexcept
        : object_{object}
        , good_{object.is_object()}
    {}

    /** @return False after a fault in any field. */
    [[nodiscard]] bool good() const noexcept { return good_; }

    /** @brief Notes a fault that the caller found. */
    void fail() noexcept { good_ = false; }

    /**
     * @brief Looks a field up.
     * @param name Name of the field.
     * @return Field, or null if it is not there.
     */
    [[nodiscard]] const json* find(const char* name) const
    {
        if (!object_.is_object()) {
            return nullptr;
        }
        const auto it = object_.find(name);
        return it == object_.end() ? nullptr : &*it;
    }

    /**
     * @brief Reads a whole number that must fit the type.
     * @param name Name of the field.
     * @param out Set if the field is there and right.
     */
    template <std::integral Number>
    requires(!std::same_as<Number, bool>) void read(const char* name,
                                                    Number& out)
    {
        const auto* field = find(name);
        if (field == nullptr) {
            return;
        }
        if (field->is_number_unsigned()) {
            assign(field->get<std::uint64_t>(), out);
        } else if (field->is_number_integer()) {
            assign(field->get<std::int64_t>(), out);
        } else {
            fail();
        }
    }

    /**
     * @brief Reads true or false.
     * @param name Name of the field.
     * @param out Set if the field is there and right.
     */
    void read(const char* name, bool& out)
    {
        const auto* field = find(name);
        if (field == nullptr) {
            return;
        }
        if (!field->is_boolean()) {
            fail();
            return;
        }
        out = field->get<bool>();
    }

    /**
     * @brief Reads a number that may have a fraction.
     * @param name Name of the field.
     * @param out Set if the field is there and right.
     */
    void read(const char* name, double& out)
    {
        const auto* field = find(name);
        if (field == nullptr) {
            return;
        }
        if (!field->is_number()) {
            fail();
            return;
        }
        out = field->get<double>();
    }

    /**
     * @brief Reads a text.
     * @param name Name of the field.
     * @param out Set if the field is there and right.
     */
    void read(const char* name, std::string& out)
    {
        const auto* field = find(name);
        if (field == nullptr) {
            return;
        }
        if (!field->is_string()) {
            fail();
            return;
        }
        out = field->get_ref<const std::string&>();
    }

    /**
     * @brief Reads an id.
     * @param name Name of the field.
     * @param out Set if the field is there and right.
     */
    template <typename Tag>
    void read(const char* name, basic_id<Tag>& out)
    {
        std::string text;
        read(name, text);
        out = basic_id<Tag>{std::move(text)};
    }

    /**
     * @brief Reads whole milliseconds; none below zero.
     * @param name Name of the field.
     * @param out Set if the field is there and right.
     */
    void read_milliseconds(const char* name, duration& out)
    {
        constexpr std::int64_t most_ms = std::int64_t{1} << 50U;
        std::int64_t value = to_milliseconds(out);
        read(name, value);
        if (value < 0 || value > most_ms) {
            fail();
            return;
        }
        if (find(name) != nullptr) {
            out = std::chrono::milliseconds{value};
        }
    }

    /**
     * @brief Reads an amount; none below zero.
     * @param out Set from the fields that are there.
     */
    void read(resources& out)
    {
        read("millicores", out.millicores);
        read("memory_mib", out.memory_mib);
        read("accelerators", out.accelerators);
        good_ = good_ && out.is_valid();
    }

    /**
     * @brief Reads a list; each item is passed to a function.
     * @param name Name of the field.
     * @param take Takes an item; false if the item is wrong.
     */
    template <typename Function>
    void read_list(const char* name, Function&& take)
    {
        const auto* field = find(name);
        if (field == nullptr) {
            return;
        }
        if (!field->is_array()) {
            fail();
            return;
        }
        for (const auto& it : *field) {
            good_ = good_ && take(it);
        }
    }

private:
    template <typename From, typename Number>
    void assign(From value, Number& out)
    {
        if (std::in_range<Number>(value)) {
            out = static_cast<Number>(value);
        } else {
            fail();
        }
    }

    const json& object_;
    bool good_;
};

/**
 * @brief Adds an amount to an object.
 * @param object Object that gets the fields.
 * @param amount Amount to add.
 */
inline void write_resources(json& object, const resources& amount)
{
    object["millicores"] = amount.millicores;
    object["memory_mib"] = amount.memory_mib;
    object["accelerators"] = amount.accelerators;
}

} // namespace rosemarytrail::backends

#endif
