#ifndef ROSEMARYTRAIL_LOAD_INTERNAL_FIELD_READER_HPP
#define ROSEMARYTRAIL_LOAD_INTERNAL_FIELD_READER_HPP

#include <rosemarytrail/core/reason.hpp>

#include <nlohmann/json.hpp>

#include <set>
#include <sstream>
#include <string>

namespace rosemarytrail::load::internal {

/** @brief Reads the fields of one JSON object; the first fault stays. */
class field_reader
{
public:
    /**
     * @param object Object to read.
     * @param where Name of the object in messages.
     * @param why Gets the first fault.
     */
    field_reader(const nlohmann::json& object, std::string where, reason& why)
        : object_{object}
        , where_{std::move(where)}
        , why_{why}
    {
        if (!object_.is_object()) {
            fail(result_code::settings_field_type, where_ + ": not an object");
        }
    }

    /** @brief Reads a number; leaves `value` if the field is absent. */
    template <typename Number>
    void number(const char* name, Number& value, double least, double most)
    {
        const auto* it = find(name);
        if (it == nullptr) {
            return;
        }
        if (!it->is_number()) {
            fail(result_code::settings_field_type, at(name, "not a number"));
            return;
        }
        const auto n = it->get<double>();
        if (n < least || n > most) {
            std::ostringstream text;
            text << n << " is not in " << least << " to " << most;
            fail(result_code::settings_field_range, at(name, text.str()));
            return;
        }
        value = static_cast<Number>(n);
    }

    /** @brief Reads a text; leaves `value` if the field is absent. */
    void text(const char* name, std::string& value)
    {
        const auto* it = find(name);
        if (it != nullptr && !it->is_string()) {
            fail(result_code::settings_field_type, at(name, "not a text"));
        } else if (it != nullptr) {
            value = it->get<std::string>();
        }
    }

    /** @brief Reads a truth value; leaves `value` if the field is absent. */
    void flag(const char* name, bool& value)
    {
        const auto* it = find(name);
        if (it != nullptr && !it->is_boolean()) {
            fail(result_code::settings_field_type, at(name, "not a boolean"));
        } else if (it != nullptr) {
            value = it->get<bool>();
        }
    }

    /** @return Elements of a required array that is not empty. */
    [[nodiscard]] nlohmann::json array(const char* name)
    {
        const auto* it = find(name);
        if (it == nullptr || !it->is_array() || it->empty()) {
            fail(it == nullptr ? result_code::settings_field_missing
                               : result_code::settings_field_type,
                 at(name, "must be an array with at least one element"));
            return nlohmann::json::array();
        }
        return *it;
    }

    /** @brief Fails for a field that was never read. */
    void finish()
    {
        if (!object_.is_object()) {
            return;
        }
        for (const auto& [name, value] : object_.items()) {
            if (!known_.contains(name)) {
                fail(result_code::settings_field_unknown,
                     at(name, "unknown field"));
            }
        }
    }

    /** @brief Notes a fault unless there is one already. */
    void fail(result_code code, std::string detail)
    {
        if (why_.code == result_code::ok) {
            why_ = {.code = code, .detail = std::move(detail)};
        }
    }

private:
    [[nodiscard]] const nlohmann::json* find(const char* name)
    {
        known_.insert(name);
        if (!object_.is_object()) {
            return nullptr;
        }
        const auto it = object_.find(name);
        return it == object_.end() ? nullptr : &*it;
    }

    [[nodiscard]] std::string at(const std::string& name,
                                 const std::string& fault) const
    {
        return where_ + "." + name + ": " + fault;
    }

    const nlohmann::json& object_;
    std::string where_;
    reason& why_;
    std::set<std::string> known_;
};

} // namespace rosemarytrail::load::internal

#endif
