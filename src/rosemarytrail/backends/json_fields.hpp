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
 * @brief Parses untrusted text.
 * @param text Text to parse; may be invalid JSON.
 * @return The value; a discarded one if the text is not valid JSON.
 */
[[nodiscard]] inline json parse_json(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

/**
 * @brief Serializes a value on one line.
 * @param value Value to serialize.
 * @return JSON text; invalid UTF-8 is replaced.
 */
[[nodiscard]] inline std::string dump_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/**
 * @brief Reads the fields of an object and tracks whether all were valid.
 *
 * A missing field leaves its output unchanged; a field of the wrong type or out
 * of range is an error.
 */
class field_reader
{
public:
    /** @param object Value to read from; an error unless it is an object. */
    explicit field_reader(const json& object) noexcept
        : object_{object}
        , good_{object.is_object()}
    {}

    /** @return True if no error occurred. */
    [[nodiscard]] bool good() const noexcept { return good_; }

    /** @brief Records an error that the caller detected. */
    void fail() noexcept { good_ = false; }

    /**
     * @brief Looks up a field.
     * @param name Name of the field.
     * @return Field, or null if it is missing.
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
     * @brief Reads an integer that must fit the type of `out`.
     * @param name Name of the field.
     * @param out Set if the field is present and valid.
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
     * @brief Reads a boolean.
     * @param name Name of the field.
     * @param out Set if the field is present and valid.
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
     * @brief Reads a floating-point number.
     * @param name Name of the field.
     * @param out Set if the field is present and valid.
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
     * @brief Reads a string.
     * @param name Name of the field.
     * @param out Set if the field is present and valid.
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
     * @param out Set if the field is present and valid.
     */
    template <typename Tag>
    void read(const char* name, basic_id<Tag>& out)
    {
        std::string text;
        read(name, text);
        out = basic_id<Tag>{std::move(text)};
    }

    /**
     * @brief Reads a non-negative integer number of milliseconds.
     * @param name Name of the field.
     * @param out Set if the field is present and valid.
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
     * @brief Reads resources; negative amounts are an error.
     * @param out Set from the fields that are present.
     */
    void read(resources& out)
    {
        read("millicores", out.millicores);
        read("memory_mib", out.memory_mib);
        read("accelerators", out.accelerators);
        good_ = good_ && out.is_valid();
    }

    /**
     * @brief Reads a list and passes each item to a function.
     * @param name Name of the field.
     * @param take Handles an item; returns false if the item is invalid.
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
 * @brief Writes resources to the fields of an object.
 * @param object Object to write to.
 * @param amount Resources to write.
 */
inline void write_resources(json& object, const resources& amount)
{
    object["millicores"] = amount.millicores;
    object["memory_mib"] = amount.memory_mib;
    object["accelerators"] = amount.accelerators;
}

} // namespace rosemarytrail::backends

#endif
