#include <rosemarytrail/standin/program.hpp>
#include <rosemarytrail/standin/upstream_service.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdlib>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port; 0 lets the system choose");
ABSL_FLAG(std::string, control, "", "faults from the start, in JSON");
ABSL_FLAG(std::string, vm, "vm", "VM that it answers for");
ABSL_FLAG(std::uint32_t, slots, 8, "requests that run at once");
ABSL_FLAG(std::uint32_t, connections, 64, "connections that it accepts");

namespace {

using namespace rosemarytrail; // NOLINT

/** @brief Passes all requests to one upstream. */
class upstream_handler final : public http::handler
{
public:
    explicit upstream_handler(standin::upstream_service& service) noexcept
        : service_{service}
    {}

    std::optional<http::response> on_head(const http::request&) override
    {
        return std::nullopt;
    }

    void on_request(std::shared_ptr<http::exchange> it) override
    {
        service_.serve(it, it->incoming().path);
    }

private:
    standin::upstream_service& service_;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    standin::block_signals();
    const auto faults = standin::faults_of_flag<standin::upstream_faults>(
        absl::GetFlag(FLAGS_control));
    if (!faults) {
        return EXIT_FAILURE;
    }
    standin::shared_run_counter runs;
    standin::delay_queue delays;
    standin::upstream_service service{vm_id{absl::GetFlag(FLAGS_vm)},
                                      {.slots = absl::GetFlag(FLAGS_slots)},
                                      runs,
                                      delays};
    service.set_faults(*faults);
    upstream_handler handler{service};
    const int result = standin::serve_until_signal(
        {.address = absl::GetFlag(FLAGS_address),
         .port = absl::GetFlag(FLAGS_port),
         .connections = absl::GetFlag(FLAGS_connections)},
        handler);
    delays.stop();
    return result;
}
