#include <rosemarytrail/rpc/internal/conversion.hpp>

#include <string>

namespace rosemarytrail::rpc::internal {

namespace {

std::string text(capnp::Text::Reader from)
{
    return {from.begin(), from.size()};
}

void write(wire::Resources::Builder to, const resources& value)
{
    to.setMillicores(value.millicores);
    to.setMemoryMib(value.memory_mib);
    to.setAccelerators(value.accelerators);
}

resources read(wire::Resources::Reader from)
{
    return {from.getMillicores(), from.getMemoryMib(), from.getAccelerators()};
}

std::optional<result_code> read_code(std::uint16_t number)
{
    const auto code = static_cast<result_code>(number);
    if (describe(code).code != code)
        return std::nullopt;
    return code;
}

void write(wire::TeamUsage::Builder to, const control::team_usage& value)
{
    to.setTeam(value.team.str());
    write(to.initUsed(), value.used);
    write(to.initQueued(), value.queued);
}

std::optional<control::team_usage> read(wire::TeamUsage::Reader from)
{
    control::team_usage value{.team = team_id{text(from.getTeam())},
                              .used = read(from.getUsed()),
                              .queued = read(from.getQueued())};
    if (!value.used.is_valid() || !value.queued.is_valid())
        return std::nullopt;
    return value;
}

void write(wire::Endpoint::Builder to, const control::service_endpoint& value)
{
    const auto& upstream = value.upstream;
    to.setService(value.service.str());
    to.setVm(upstream.vm.str());
    to.setZone(upstream.zone.str());
    to.setAddress(upstream.address);
    to.setSlots(upstream.slots);
    to.setConnections(upstream.connections);
    to.setBusySlots(upstream.busy_slots);
    to.setLeaving(upstream.leaving);
}

control::service_endpoint read(wire::Endpoint::Reader from)
{
    return {.service = service_id{text(from.getService())},
            .upstream = {.vm = vm_id{text(from.getVm())},
                         .zone = zone_id{text(from.getZone())},
                         .address = text(from.getAddress()),
                         .slots = from.getSlots(),
                         .connections = from.getConnections(),
                         .busy_slots = from.getBusySlots(),
                         .leaving = from.getLeaving()}};
}

void write(wire::PartitionSummary::Builder to,
           const control::partition_summary& value)
{
    to.setPartition(value.partition);
    to.setEpoch(value.epoch);
    write(to.initFree(), value.free);
    write(to.initCapacity(), value.capacity);
    write(to.initLargestRoom(), value.largest_room);
    to.setVms(value.vms);
    to.setQueuedTasks(value.queued_tasks);
    to.setRunningTasks(value.running_tasks);
    to.setSettled(value.settled);
    auto teams = to.initTeams(static_cast<unsigned>(value.teams.size()));
    for (unsigned n = 0; n < teams.size(); ++n)
        write(teams[n], value.teams[n]);
    auto endpoints =
        to.initEndpoints(static_cast<unsigned>(value.endpoints.size()));
    for (unsigned n = 0; n < endpoints.size(); ++n)
        write(endpoints[n], value.endpoints[n]);
}

std::optional<control::partition_summary>
read(wire::PartitionSummary::Reader from)
{
    control::partition_summary value{.partition = from.getPartition(),
                                     .epoch = from.getEpoch(),
                                     .free = read(from.getFree()),
                                     .capacity = read(from.getCapacity()),
                                     .largest_room =
                                         read(from.getLargestRoom()),
                                     .vms = from.getVms(),
                                     .queued_tasks = from.getQueuedTasks(),
                                     .running_tasks = from.getRunningTasks(),
                                     .settled = from.getSettled(),
                                     .teams = {},
                                     .endpoints = {}};
    if (value.partition > max_partition)
        return std::nullopt;
    for (const auto it : from.getTeams()) {
        auto usage = read(it);
        if (!usage)
            return std::nullopt;
        value.teams.push_back(std::move(*usage));
    }
    for (const auto it : from.getEndpoints())
        value.endpoints.push_back(read(it));
    return value;
}

} // namespace

void write(wire::Heartbeat::Builder to, const control::heartbeat& value)
{
    to.setSender(value.sender.str());
    to.setNextOffset(value.next_offset);
    to.setDraining(value.draining);
    auto list =
        to.initPartitions(static_cast<unsigned>(value.partitions.size()));
    for (unsigned n = 0; n < list.size(); ++n)
        write(list[n], value.partitions[n]);
}

void write(wire::JobStatus::Builder to, const control::job_status& value)
{
    to.setJob(value.job.str());
    to.setName(value.name);
    to.setTeam(value.team.str());
    to.setPolicy(value.policy);
    to.setPhase(value.phase);
    to.setPartition(value.partition);
    to.setTasks(value.tasks);
    to.setQueued(value.queued);
    to.setRunning(value.running);
    to.setSucceeded(value.succeeded);
    to.setFailed(value.failed);
    to.setWaitsFor(static_cast<std::uint16_t>(value.waits_for));
    to.setWaitDetail(value.wait_detail);
    to.setWaitsSinceMicroseconds(value.waits_since.count());
    to.setFromHolder(value.from_holder);
    auto vms = to.initVms(static_cast<unsigned>(value.vms.size()));
    for (unsigned n = 0; n < vms.size(); ++n)
        vms.set(n, value.vms[n].str());
}

void write(wire::CancelOutcome::Builder to,
           const control::cancel_outcome& value)
{
    to.setCode(static_cast<std::uint16_t>(value.code));
    to.setInEffect(value.in_effect);
    to.setRecorded(value.recorded);
}

void write(capnp::List<wire::LogEntry>::Builder to,
           std::span<const backends::log_entry> entries)
{
    for (unsigned n = 0; n < to.size(); ++n) {
        const auto& payload = entries[n].payload;
        to[n].setOffset(entries[n].offset);
        to[n].setPayload(kj::arrayPtr(
            reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
    }
}

std::optional<control::heartbeat> read(wire::Heartbeat::Reader from)
{
    control::heartbeat value{.sender = incarnation_id{text(from.getSender())},
                             .next_offset = from.getNextOffset(),
                             .draining = from.getDraining(),
                             .partitions = {}};
    if (value.sender.empty())
        return std::nullopt;
    for (const auto it : from.getPartitions()) {
        auto summary = read(it);
        if (!summary)
            return std::nullopt;
        value.partitions.push_back(std::move(*summary));
    }
    return value;
}

std::optional<control::job_status> read(wire::JobStatus::Reader from)
{
    const auto waits_for = read_code(from.getWaitsFor());
    if (!waits_for || from.getPartition() > max_partition)
        return std::nullopt;
    control::job_status value{.job = job_id{text(from.getJob())},
                              .name = text(from.getName()),
                              .team = team_id{text(from.getTeam())},
                              .policy = text(from.getPolicy()),
                              .phase = text(from.getPhase()),
                              .partition = from.getPartition(),
                              .tasks = from.getTasks(),
                              .queued = from.getQueued(),
                              .running = from.getRunning(),
                              .succeeded = from.getSucceeded(),
                              .failed = from.getFailed(),
                              .waits_for = *waits_for,
                              .wait_detail = text(from.getWaitDetail()),
                              .waits_since =
                                  duration{from.getWaitsSinceMicroseconds()},
                              .from_holder = from.getFromHolder(),
                              .vms = {}};
    for (const auto it : from.getVms())
        value.vms.emplace_back(text(it));
    return value;
}

std::optional<control::cancel_outcome> read(wire::CancelOutcome::Reader from)
{
    const auto code = read_code(from.getCode());
    if (!code)
        return std::nullopt;
    return control::cancel_outcome{.code = *code,
                                   .in_effect = from.getInEffect(),
                                   .recorded = from.getRecorded()};
}

std::optional<std::vector<backends::log_entry>>
read(capnp::List<wire::LogEntry>::Reader from)
{
    std::vector<backends::log_entry> entries;
    entries.reserve(from.size());
    for (const auto it : from) {
        if (!entries.empty() && it.getOffset() != entries.back().offset + 1)
            return std::nullopt;
        const auto bytes = it.getPayload().asChars();
        entries.push_back({.offset = it.getOffset(),
                           .payload = {bytes.begin(), bytes.size()}});
    }
    return entries;
}

} // namespace rosemarytrail::rpc::internal
