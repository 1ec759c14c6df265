#include <rosemarytrail/cli/printer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace rosemarytrail::cli {

namespace {

std::vector<std::size_t> column_widths(std::span<const table_row> rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    return widths;
}

/** @return Text without characters that steer a terminal. */
std::string printable(std::string_view text)
{
    std::string line{text};
    std::replace_if(
        line.begin(), line.end(),
        [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; },
        ' ');
    return line;
}

} // namespace

printer::printer(std::ostream& out, std::ostream& err, bool json) noexcept
    : out_{out}
    , err_{err}
    , json_{json}
{}

void printer::write(std::string_view text)
{
    out_ << text;
    if (!text.ends_with('\n')) {
        out_ << '\n';
    }
}

void printer::write_table(std::span<const table_row> rows)
{
    constexpr std::size_t gap = 2;
    const auto widths = column_widths(rows);
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n) {
            auto cell = printable(row[n]);
            if (n + 1 < row.size()) {
                cell.resize(widths[n] + gap, ' ');
            }
            line += cell;
        }
        out_ << line << '\n';
    }
}

void printer::write_error(const reason& why, bool not_run)
{
    const auto code = static_cast<unsigned>(why.code);
    const auto& row = describe(why.code);
    const auto detail =
        why.detail.empty() ? std::string{row.meaning} : why.detail;
    if (json_) {
        const nlohmann::json error{{"code", code},
                                   {"reason", row.name},
                                   {"detail", detail},
                                   {"not_run", not_run}};
        out_ << error.dump(-1, ' ', false,
                           nlohmann::json::error_handler_t::replace)
             << '\n';
        return;
    }
    err_ << "rosemarytrail: error " << code << " " << row.name << ": "
         << printable(detail) << '\n';
}

} // namespace rosemarytrail::cli
