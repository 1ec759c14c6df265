#include <rosemarytrail/standin/log_service.hpp>
#include <rosemarytrail/standin/program.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstddef>
#include <cstdlib>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port; 0 lets the system choose");
ABSL_FLAG(std::string, control, "", "faults from the start, in JSON");

namespace {

/** Largest append: the snapshot of a large cell is one entry. */
constexpr std::size_t body_bytes = std::size_t{64} << 20U;

} // namespace

int main(int argc, char** argv)
{
    using namespace rosemarytrail; // NOLINT
    absl::ParseCommandLine(argc, argv);
    standin::block_signals();
    const auto faults = standin::faults_of_flag<standin::log_faults>(
        absl::GetFlag(FLAGS_control));
    if (!faults) {
        return EXIT_FAILURE;
    }
    standin::log_service service{*faults};
    return standin::serve_until_signal({.address = absl::GetFlag(FLAGS_address),
                                        .port = absl::GetFlag(FLAGS_port),
                                        .body_bytes = body_bytes},
                                       service);
}
