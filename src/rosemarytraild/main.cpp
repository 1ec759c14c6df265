#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/daemon/entry_daemon.hpp>
#include <rosemarytrail/logging/log.hpp>
#include <rosemarytrail/settings/daemon_settings.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>

ABSL_FLAG(std::string, settings, "", "path of the settings file, JSON");
ABSL_FLAG(bool, check_settings, false,
          "check the settings, print the result and exit");

namespace {

using rosemarytrail::reason;

constexpr int exit_clean = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

constexpr std::string_view usage =
    "rosemarytraild, the daemon of an entry VM\n"
    "  rosemarytraild --settings=/etc/rosemarytrail.json\n"
    "  rosemarytraild --settings=/etc/rosemarytrail.json --check_settings\n"
    "SIGTERM shuts it down gracefully. Exit codes: 0 success, 1 failure or\n"
    "shutdown timeout, 2 invalid flags or settings.\n";

int complain(const reason& why, int code)
{
    std::cerr << "rosemarytraild: error " << static_cast<unsigned>(why.code)
              << " " << rosemarytrail::describe(why.code).name << ": "
              << why.detail << "\n";
    return code;
}

/** Validates flags before Abseil, which would exit with another code. */
bool known_flag(std::string_view shown)
{
    const auto start = shown.find_first_not_of('-');
    if (start == std::string_view::npos || start > 2 || start == 0)
        return false;
    const auto equals = shown.find('=');
    const auto name = shown.substr(start, equals - start);
    if (name == "settings")
        return true;
    if (name != "check_settings")
        return false;
    const bool valued = equals != std::string_view::npos;
    const auto value = valued ? shown.substr(equals + 1) : "true";
    return value == "true" || value == "false";
}

/** Blocks termination signals in all threads created later. */
sigset_t block_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

rosemarytrail::logging::level level_of(std::string_view name)
{
    using rosemarytrail::logging::level;
    if (name == "error")
        return level::error;
    return name == "warning" ? level::warning : level::info;
}

int run(const rosemarytrail::settings::daemon_settings& settings)
{
    const auto signals = block_signals();
    const auto self = rosemarytrail::daemon::make_incarnation(settings.zone);
    rosemarytrail::logging::start(level_of(settings.log_level), self.str());
    auto process =
        std::make_unique<rosemarytrail::daemon::entry_daemon>(settings, self);
    reason why;
    if (!process->start(why))
        return complain(why, exit_failed);
    int caught{};
    sigwait(&signals, &caught);
    if (!process->shut_down())
        std::_Exit(exit_failed);
    return exit_clean;
}

} // namespace

int main(int argc, char** argv)
{
    using rosemarytrail::result_code;
    std::string_view before;
    for (int n = 1; n < argc; ++n) {
        const std::string_view shown{argv[n]};
        if (shown == "--help" || shown == "-help") {
            std::cout << usage;
            return exit_clean;
        }
        const bool is_value = before == "--settings" || before == "-settings";
        if (!is_value && !known_flag(shown)) {
            return complain({.code = result_code::usage,
                             .detail = "unknown argument " +
                                       std::string{shown} + "; see --help"},
                            exit_usage);
        }
        before = is_value ? std::string_view{} : shown;
    }
    absl::SetProgramUsageMessage(usage.data());
    absl::ParseCommandLine(argc, argv);
    const auto path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        return complain({.code = result_code::usage,
                         .detail = "--settings: a path is required"},
                        exit_usage);
    }
    reason why;
    const auto settings =
        rosemarytrail::settings::load_daemon_settings(path, why);
    if (!settings)
        return complain(why, exit_usage);
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << path << ": settings are valid\n";
        return exit_clean;
    }
    return run(*settings);
}
