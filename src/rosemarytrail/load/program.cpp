#include <rosemarytrail/load/program.hpp>

#include <rosemarytrail/load/runner.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

ABSL_FLAG(std::string, experiment, "", "JSON file of the experiment");
ABSL_FLAG(std::string, out, "", "file for the results as JSON");

namespace rosemarytrail::load {

namespace {

std::optional<experiment> read(const std::string& path, reason& why)
{
    const std::ifstream file{path};
    if (!file) {
        why = {.code = result_code::settings_unreadable,
               .detail = "cannot read " + path};
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_experiment(text.str(), why);
}

} // namespace

int run_program(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Sends requests in an open loop and measures the answers.\n"
        "rosemarytrail-load --experiment=FILE [--out=FILE]");
    absl::ParseCommandLine(argc, argv);
    reason why;
    const auto chosen = read(absl::GetFlag(FLAGS_experiment), why);
    if (!chosen) {
        std::cerr << static_cast<int>(why.code) << ' '
                  << describe(why.code).name << ": " << why.detail << '\n';
        return 1;
    }
    const boot_time_source clock;
    const auto client =
        http::make_curl_client({.threads = chosen->threads,
                                .connections_per_host = chosen->connections});
    const auto results = run(
        *chosen,
        {.client = *client, .clock = clock, .wait_until = make_wait(clock)});
    std::cout << format_table(results);
    const auto path = absl::GetFlag(FLAGS_out);
    if (!path.empty()) {
        std::ofstream{path} << format_json(results) << '\n';
    }
    return 0;
}

} // namespace rosemarytrail::load
