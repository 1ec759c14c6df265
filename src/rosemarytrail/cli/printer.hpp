#ifndef ROSEMARYTRAIL_CLI_PRINTER_HPP
#define ROSEMARYTRAIL_CLI_PRINTER_HPP

#include <rosemarytrail/core/reason.hpp>

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::cli {

/** @brief Cells of one row of a table. */
using table_row = std::vector<std::string>;

/** @brief Writes results for people or for programs. */
class printer
{
public:
    /**
     * @brief Makes a printer.
     * @param out Receives results.
     * @param err Receives errors for people.
     * @param json Whether to write JSON.
     */
    printer(std::ostream& out, std::ostream& err, bool json) noexcept;

    /** @return True if programs read the results. */
    [[nodiscard]] bool json() const noexcept { return json_; }

    /** @param text Written as it is, with a line break at its end. */
    void write(std::string_view text);

    /**
     * @brief Writes a table for people.
     * @param rows Rows; the first bears the heads.
     */
    void write_table(std::span<const table_row> rows);

    /**
     * @brief Writes why something was refused.
     * @param why Code and detail.
     * @param not_run Whether it is certain that nothing took effect.
     */
    void write_error(const reason& why, bool not_run);

private:
    std::ostream& out_;
    std::ostream& err_;
    bool json_;
};

} // namespace rosemarytrail::cli

#endif
