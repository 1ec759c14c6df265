#ifndef ROSEMARYTRAIL_STANDIN_FAULT_FIELDS_HPP
#define ROSEMARYTRAIL_STANDIN_FAULT_FIELDS_HPP

#include <rosemarytrail/backends/json_fields.hpp>
#include <rosemarytrail/standin/log_store.hpp>
#include <rosemarytrail/standin/upstream_model.hpp>
#include <rosemarytrail/standin/vm_list_model.hpp>
#include <rosemarytrail/standin/worker_model.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::standin {

/**
 * @brief Passes each field and its name in JSON to a visitor.
 * @param it Faults to visit.
 * @param visit Called as `visit(name, field)`.
 */
template <typename Visit>
void visit_fields(log_faults& it, Visit& visit)
{
    visit("mode", it.mode);
    visit("slow_ms", it.slow);
    visit("lose_answers", it.lose_answers);
    visit("appends_per_second", it.appends_per_second);
    visit("kept_entries", it.kept_entries);
    visit("seed", it.seed);
}

/** @copydoc visit_fields */
template <typename Visit>
void visit_fields(vm_list_faults& it, Visit& visit)
{
    visit("mode", it.mode);
    visit("lag_ms", it.lag);
    visit("expiry_ms", it.expiry);
}

/** @copydoc visit_fields */
template <typename Visit>
void visit_fields(worker_faults& it, Visit& visit)
{
    visit("mode", it.mode);
    visit("slow_ms", it.slow);
    visit("fail_tasks", it.fail_tasks);
    visit("slow_factor", it.slow_factor);
    visit("lose_answers", it.lose_answers);
    visit("leaving", it.leaving);
    visit("seed", it.seed);
}

/** @copydoc visit_fields */
template <typename Visit>
void visit_fields(upstream_faults& it, Visit& visit)
{
    visit("mode", it.mode);
    visit("slow_ms", it.slow);
    visit("service_ms", it.service);
    visit("fail", it.fail);
    visit("refuse", it.refuse);
    visit("cut_off", it.cut_off);
    visit("late", it.late);
    visit("late_ms", it.late_by);
    visit("crossed", it.crossed);
    visit("double", it.doubled);
    visit("leaving", it.leaving);
    visit("seed", it.seed);
}

namespace internal {

inline constexpr std::string_view mode_names[]{"up", "down", "slow"};

/** @brief Reads each field that is there. */
class fault_reader
{
public:
    explicit fault_reader(backends::field_reader& fields) noexcept
        : fields_{fields}
    {}

    /** @return Fields found. */
    [[nodiscard]] std::size_t found() const noexcept { return found_; }

    template <typename Value>
    void operator()(const char* name, Value& out)
    {
        found_ += fields_.find(name) != nullptr ? 1 : 0;
        fields_.read(name, out);
    }

    void operator()(const char* name, double& out)
    {
        found_ += fields_.find(name) != nullptr ? 1 : 0;
        fields_.read(name, out);
        if (out < 0.0) {
            fields_.fail();
        }
    }

    void operator()(const char* name, duration& out)
    {
        found_ += fields_.find(name) != nullptr ? 1 : 0;
        fields_.read_milliseconds(name, out);
    }

    void operator()(const char* name, fault_mode& out)
    {
        std::string text{mode_names[static_cast<std::size_t>(out)]};
        (*this)(name, text);
        for (std::size_t i = 0; i < std::size(mode_names); ++i) {
            if (mode_names[i] == text) {
                out = static_cast<fault_mode>(i);
                return;
            }
        }
        fields_.fail();
    }

private:
    backends::field_reader& fields_;
    std::size_t found_{};
};

/** @brief Writes each field. */
class fault_writer
{
public:
    /** @return Object with the fields. */
    [[nodiscard]] const backends::json& object() const noexcept
    {
        return object_;
    }

    template <typename Value>
    void operator()(const char* name, const Value& value)
    {
        object_[name] = value;
    }

    void operator()(const char* name, const duration& value)
    {
        object_[name] = to_milliseconds(value);
    }

    void operator()(const char* name, const fault_mode& value)
    {
        object_[name] = mode_names[static_cast<std::size_t>(value)];
    }

private:
    backends::json object_;
};

} // namespace internal

/**
 * @brief Changes the faults named in a JSON object; the others stay.
 * @param faults Faults as they are.
 * @param text JSON.
 * @return The new faults, or nothing if a field is unknown or wrong.
 */
template <typename Faults>
[[nodiscard]] std::optional<Faults> update_faults(Faults faults,
                                                  std::string_view text)
{
    const auto value = backends::parse_json(text);
    backends::field_reader fields{value};
    internal::fault_reader reader{fields};
    visit_fields(faults, reader);
    if (!fields.good() || reader.found() != value.size()) {
        return std::nullopt;
    }
    return faults;
}

/**
 * @brief Writes faults.
 * @param faults Faults to write.
 * @return JSON object that sets them.
 */
template <typename Faults>
[[nodiscard]] std::string describe_faults(Faults faults)
{
    internal::fault_writer writer;
    visit_fields(faults, writer);
    return backends::dump_json(writer.object());
}

} // namespace rosemarytrail::standin

#endif
