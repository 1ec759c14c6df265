#include <rosemarytrail/cli/command.hpp>

#include <rosemarytrail/cli/subcommands.hpp>

#include <algorithm>
#include <array>

namespace rosemarytrail::cli {

namespace {

/** @brief Operands of `explain`: a job and the logs of a large cell. */
constexpr std::size_t most_logs = 1025;

constexpr std::array table{
    command{"check", "FILE", 1, 1, "",
            "checks a settings file or a document; needs no entry VM",
            "rosemarytrail check /etc/rosemarytrail.json\n"
            "rosemarytrail check plugs-job.json --json",
            run_check},
    command{"publish", "FILE", 1, 1, "replaces",
            "publishes the document of a team or a key",
            "rosemarytrail publish team-kjolnett.json --entry 10.0.0.1:7001\n"
            "rosemarytrail publish team-kjolnett.json --replaces 2048",
            run_publish},
    command{"key give", "KEY", 1, 1, "team,account,replaces",
            "makes a key, publishes its salted hash and prints it once",
            "rosemarytrail key give crane-1 --team kjolnett --account quay\n"
            "rosemarytrail key give crane-1 --team kjolnett --account quay "
            "--replaces 4096",
            run_key_give},
    command{"key withdraw", "KEY", 1, 1, "", "withdraws a key",
            "rosemarytrail key withdraw crane-1", run_key_withdraw},
    command{"operator-key", "", 0, 0, "",
            "makes an operator key and the salt and hash for the settings",
            "rosemarytrail operator-key --json", run_operator_key},
    command{"submit", "FILE", 1, 1, "submission_id",
            "submits a job; asking again with the same id is safe",
            "rosemarytrail submit plugs-job.json\n"
            "rosemarytrail submit herd.json --submission_id herd-2031-04-01",
            run_submit},
    command{"cancel", "JOB", 1, 1, "", "cancels a job",
            "rosemarytrail cancel JOB", run_cancel},
    command{"status", "JOB", 1, 1, "wait,read_offset",
            "shows a job, or waits for it",
            "rosemarytrail status JOB --read_offset 7168\n"
            "rosemarytrail status JOB --wait over --timeout 1m",
            run_status},
    command{"explain", "JOB [LOG...]", 1, most_logs, "read_offset",
            "tells why the tasks of a job wait, or what logs tell of it",
            "rosemarytrail explain JOB\n"
            "rosemarytrail explain 5c0e7a21d94b36f8 n1.log n2.log n3.log",
            run_explain},
    command{"list", "", 0, 0, "", "lists the jobs of the key's team",
            "rosemarytrail list --json", run_list},
    command{"members", "", 0, 0, "",
            "shows members, partitions and their holders",
            "rosemarytrail members --entry 10.0.0.1:7001", run_members},
    command{"counters", "", 0, 0, "filter", "shows the counters of an entry VM",
            "rosemarytrail counters --filter refusals", run_counters},
    command{"request", "SERVICE PATH", 2, 2,
            "method,data,idempotency_key,read_offset",
            "sends one request to a service and writes its answer",
            "rosemarytrail request plugs /quay/7\n"
            "rosemarytrail request plugs /book --method POST --data '{}' "
            "--idempotency_key box-881",
            run_request}};

std::string help_of_command(const command& it)
{
    std::string flags{common_flags};
    if (!it.flags.empty()) {
        flags = std::string{it.flags} + "," + flags;
    }
    return "usage: rosemarytrail " + usage_line(it) + " [flags]\n" +
           std::string{it.summary} + "\n\nflags:\n" + describe_flags(flags) +
           "\n\nexamples:\n" + std::string{it.examples} + "\n";
}

std::string help_of_program()
{
    constexpr std::size_t width = 28;
    std::string text = "usage: rosemarytrail COMMAND [flags]\n\ncommands:\n";
    for (const auto& it : table) {
        auto line = "  " + usage_line(it);
        line.resize(std::max(line.size() + 1, width), ' ');
        text += line + std::string{it.summary} + "\n";
    }
    return text + "\nflags of all commands:\n" + describe_flags(common_flags) +
           "\n\nexit codes: 0 done, 1 refused, 2 usage or bad input, 3 no "
           "entry VM answered,\n4 outcome unknown. `rosemarytrail COMMAND "
           "--help` has examples.\n";
}

} // namespace

std::span<const command> commands() noexcept
{
    return table;
}

const command* find_command(std::string_view name) noexcept
{
    const auto* const it =
        std::find_if(table.begin(), table.end(),
                     [name](const command& row) { return row.name == name; });
    return it == table.end() ? nullptr : it;
}

std::string command_names()
{
    std::string names;
    for (const auto& it : table) {
        names += names.empty() ? "" : ", ";
        names += it.name;
    }
    return names;
}

std::string usage_line(const command& it)
{
    std::string line{it.name};
    if (!it.operands.empty()) {
        line += " ";
        line += it.operands;
    }
    return line;
}

std::string help_text(const command* it)
{
    return it == nullptr ? help_of_program() : help_of_command(*it);
}

} // namespace rosemarytrail::cli
