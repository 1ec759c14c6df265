#include <rosemarytrail/fleet/job.hpp>

#include <array>
#include <charconv>

namespace rosemarytrail::fleet {

namespace {

constexpr std::size_t id_digits = 16;

/** @brief Parses a decimal number up to the next dot and removes both from the
 * front of the text. */
[[nodiscard]] bool take_number(std::string_view& text, std::uint32_t& value)
{
    const auto dot = std::min(text.find('.'), text.size());
    const auto* end = text.data() + dot;
    const auto [last, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc{} || last != end) {
        return false;
    }
    text.remove_prefix(std::min(dot + 1, text.size()));
    return true;
}

} // namespace

std::string to_text(std::uint64_t id)
{
    std::string text(id_digits, '0');
    constexpr std::string_view digits = "0123456789abcdef";
    for (std::size_t i = id_digits; i-- > 0; id >>= 4U) {
        text[i] = digits[id & 0xFU];
    }
    return text;
}

std::string to_text(const step_key& id)
{
    return to_text(id.job) + "." + std::to_string(id.occurrence) + "." +
           std::to_string(id.step);
}

std::string to_text(const task_key& id)
{
    return to_text(id.step) + "." + std::to_string(id.index);
}

std::optional<std::uint64_t> parse_job_id(std::string_view text)
{
    if (text.size() != id_digits ||
        text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    std::uint64_t id = 0;
    std::from_chars(text.data(), text.data() + text.size(), id, 16);
    return id;
}

std::optional<step_key> parse_step_key(std::string_view text)
{
    const auto id = parse_job_id(text.substr(0, id_digits));
    if (!id || text.size() <= id_digits || text[id_digits] != '.') {
        return std::nullopt;
    }
    step_key result{.job = *id};
    text.remove_prefix(id_digits + 1);
    if (!take_number(text, result.occurrence) ||
        !take_number(text, result.step) || !text.empty()) {
        return std::nullopt;
    }
    return result;
}

std::optional<task_key> parse_task_key(std::string_view text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto step = parse_step_key(text.substr(0, dot));
    auto rest = text.substr(dot + 1);
    std::uint32_t index = 0;
    if (!step || !take_number(rest, index)) {
        return std::nullopt;
    }
    return task_key{.step = *step, .index = index};
}

} // namespace rosemarytrail::fleet
