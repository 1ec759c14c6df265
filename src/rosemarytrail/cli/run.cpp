#include <rosemarytrail/cli/run.hpp>

#include <rosemarytrail/cli/arguments.hpp>
#include <rosemarytrail/cli/command.hpp>

namespace rosemarytrail::cli {

exit_code run(std::span<const char* const> words, const run_ports& ports)
{
    reason why;
    const auto asked = parse_arguments(words, why);
    if (!asked) {
        printer{ports.out, ports.err, false}.write_error(why, true);
        return exit_code::usage;
    }
    printer out{ports.out, ports.err, asked->json};
    const auto* row = find_command(asked->command);
    if (asked->help || row == nullptr) {
        out.write(help_text(row));
        return exit_code::ok;
    }
    entry_client entries{ports.client, asked->entries, asked->timeout};
    return row->run({.asked = *asked, .entries = entries, .out = out});
}

} // namespace rosemarytrail::cli
