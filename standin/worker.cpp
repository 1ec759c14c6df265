#include <rosemarytrail/standin/program.hpp>
#include <rosemarytrail/standin/worker_service.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "command port; 0 lets the system choose");
ABSL_FLAG(std::uint16_t, service_port, 0, "port for requests to services");
ABSL_FLAG(std::string, control, "", "worker faults from the start, in JSON");
ABSL_FLAG(std::string, vm_list_url, "", "base address of the VM list");
ABSL_FLAG(std::uint32_t, register_ms, 2000, "span between registrations");
ABSL_FLAG(std::uint32_t, count, 1,
          "VMs in this process; of several, each has the prefix /<vm>-<i>");
ABSL_FLAG(std::string, vm, "vm", "id of the VM, or its beginning");
ABSL_FLAG(std::string, rack, "rack", "id of the rack, or its beginning");
ABSL_FLAG(std::uint32_t, rack_size, 8, "VMs in a rack, if there are several");
ABSL_FLAG(std::string, zone, "zone-1",
          "availability zones, by commas; racks take them in turn");
ABSL_FLAG(std::string, region, "region-1", "region");
ABSL_FLAG(std::int64_t, millicores, 64000, "processor time of a VM");
ABSL_FLAG(std::int64_t, memory_mib, 131072, "memory of a VM");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators of a VM");
ABSL_FLAG(std::uint32_t, slots, 8, "requests that a VM runs at once");
ABSL_FLAG(std::uint32_t, connections, 64, "connections that a VM accepts");
ABSL_FLAG(std::uint32_t, token_ms, 2000, "span of a command token");

namespace {

using namespace rosemarytrail; // NOLINT

constexpr unsigned spare_connections = 64;

/** @brief Ports of this process. */
struct bound_ports
{
    std::uint16_t command{};
    std::uint16_t service{};
};

[[nodiscard]] backends::vm_entry make_row(std::uint32_t i,
                                          const bound_ports& ports)
{
    const bool several = absl::GetFlag(FLAGS_count) > 1;
    const auto rack = i / std::max(absl::GetFlag(FLAGS_rack_size), 1U);
    const auto suffix = several ? "-" + std::to_string(i) : std::string{};
    const std::vector<std::string> zones =
        absl::StrSplit(absl::GetFlag(FLAGS_zone), ',');
    backends::vm_entry row;
    row.vm = vm_id{absl::GetFlag(FLAGS_vm) + suffix};
    row.rack = rack_id{absl::GetFlag(FLAGS_rack) +
                       (several ? "-" + std::to_string(rack) : "")};
    row.zone = zone_id{zones[rack % zones.size()]};
    row.region = absl::GetFlag(FLAGS_region);
    row.capacity = {absl::GetFlag(FLAGS_millicores),
                    absl::GetFlag(FLAGS_memory_mib),
                    absl::GetFlag(FLAGS_accelerators)};
    const auto prefix = several ? "/" + row.vm.str() : std::string{};
    const auto ip = absl::GetFlag(FLAGS_address) + ":";
    row.worker_address = ip + std::to_string(ports.command) + prefix;
    row.service_address = ip + std::to_string(ports.service) + prefix;
    row.slots = absl::GetFlag(FLAGS_slots);
    row.connections = absl::GetFlag(FLAGS_connections);
    return row;
}

void add_vms(standin::vm_host& host, const bound_ports& ports,
             const standin::worker_faults& faults)
{
    const standin::worker_options base{
        .token_span = std::chrono::milliseconds{absl::GetFlag(FLAGS_token_ms)},
        // A restarted worker must not take tokens of its former run.
        .first_token = static_cast<std::uint64_t>(
            boot_clock::now().time_since_epoch().count())};
    for (std::uint32_t i = 0; i < absl::GetFlag(FLAGS_count); ++i) {
        const auto row = make_row(i, ports);
        auto options = base;
        options.capacity = row.capacity;
        auto own = faults;
        own.seed += i;
        host.add(row, options, own);
    }
}

void serve(const standin::vm_host& host)
{
    const auto url = absl::GetFlag(FLAGS_vm_list_url);
    if (url.empty()) {
        standin::run_until_signal();
        return;
    }
    const auto client = http::make_curl_client({});
    standin::vm_registration registration{host, *client, url};
    registration.send();
    standin::run_until_signal(
        std::chrono::milliseconds{absl::GetFlag(FLAGS_register_ms)},
        [&registration] { registration.send(); });
    registration.withdraw();
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    standin::block_signals();
    const auto faults = standin::faults_of_flag<standin::worker_faults>(
        absl::GetFlag(FLAGS_control));
    if (!faults) {
        return EXIT_FAILURE;
    }
    const auto connections =
        absl::GetFlag(FLAGS_count) * absl::GetFlag(FLAGS_connections) +
        spare_connections;
    standin::vm_host host;
    standin::host_handler commands{host, &standin::hosted_vm::serve_command};
    standin::host_handler requests{host, &standin::hosted_vm::serve_request};
    http::server command_server{{.address = absl::GetFlag(FLAGS_address),
                                 .port = absl::GetFlag(FLAGS_port),
                                 .connections = connections},
                                commands};
    http::server request_server{{.address = absl::GetFlag(FLAGS_address),
                                 .port = absl::GetFlag(FLAGS_service_port),
                                 .connections = connections},
                                requests};
    const auto command_port = standin::listen(command_server);
    const auto service_port = standin::listen(request_server);
    if (!command_port || !service_port) {
        return EXIT_FAILURE;
    }
    add_vms(host, {.command = *command_port, .service = *service_port},
            *faults);
    std::cout << "listening " << *command_port << "\n"
              << "services " << *service_port << std::endl;
    serve(host);
    request_server.stop();
    command_server.stop();
    return EXIT_SUCCESS;
}
