#include <rosemarytrail/backends/vm_wire.hpp>

#include <rosemarytrail/backends/json_fields.hpp>

namespace rosemarytrail::backends {

namespace {

[[nodiscard]] json to_json(const vm_entry& vm)
{
    json result;
    result["vm"] = vm.vm.str();
    result["rack"] = vm.rack.str();
    result["zone"] = vm.zone.str();
    result["region"] = vm.region;
    write_resources(result, vm.capacity);
    result["worker_address"] = vm.worker_address;
    result["service_address"] = vm.service_address;
    result["slots"] = vm.slots;
    result["connections"] = vm.connections;
    result["leaving"] = vm.leaving;
    return result;
}

[[nodiscard]] bool from_json(const json& value, vm_entry& out)
{
    field_reader fields{value};
    fields.read("vm", out.vm);
    fields.read("rack", out.rack);
    fields.read("zone", out.zone);
    fields.read("region", out.region);
    fields.read(out.capacity);
    fields.read("worker_address", out.worker_address);
    fields.read("service_address", out.service_address);
    fields.read("slots", out.slots);
    fields.read("connections", out.connections);
    fields.read("leaving", out.leaving);
    return fields.good() && !out.vm.empty();
}

} // namespace

std::string encode_vm(const vm_entry& vm)
{
    return dump_json(to_json(vm));
}

std::optional<vm_entry> decode_vm(std::string_view text)
{
    vm_entry result;
    if (!from_json(parse_json(text), result)) {
        return std::nullopt;
    }
    return result;
}

std::string encode_vm_list(std::span<const vm_entry> vms)
{
    json result;
    auto& rows = result["vms"] = json::array();
    for (const auto& it : vms) {
        rows.push_back(to_json(it));
    }
    return dump_json(result);
}

std::optional<std::vector<vm_entry>> decode_vm_list(std::string_view text)
{
    const auto value = parse_json(text);
    std::vector<vm_entry> result;
    field_reader fields{value};
    fields.read_list("vms", [&result](const json& it) {
        return from_json(it, result.emplace_back());
    });
    if (!fields.good() || fields.find("vms") == nullptr) {
        return std::nullopt;
    }
    return result;
}

} // namespace rosemarytrail::backends
