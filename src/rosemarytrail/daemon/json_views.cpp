#include <rosemarytrail/daemon/json_views.hpp>

#include <rosemarytrail/core/result_code.hpp>

#include <nlohmann/json.hpp>

namespace rosemarytrail::daemon {

namespace {

using nlohmann::json;

/** Formats JSON on one line; invalid UTF-8 is replaced. */
std::string write(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json view_of(const control::job_status& value)
{
    auto vms = json::array();
    for (const auto& it : value.vms)
        vms.push_back(it.str());
    json view{{"job", value.job.str()},   {"name", value.name},
              {"team", value.team.str()}, {"class", value.policy},
              {"phase", value.phase},     {"partition", value.partition},
              {"tasks", value.tasks},     {"queued", value.queued},
              {"running", value.running}, {"succeeded", value.succeeded},
              {"failed", value.failed},   {"from_holder", value.from_holder},
              {"vms", std::move(vms)}};
    if (value.waits_for != result_code::ok) {
        const auto& row = describe(value.waits_for);
        view["waits_for"] = {{"code", static_cast<unsigned>(row.code)},
                             {"reason", row.name},
                             {"meaning", row.meaning},
                             {"detail", value.wait_detail},
                             {"since_ms", to_milliseconds(value.waits_since)}};
    }
    return view;
}

json view_of(const control::member_view& value)
{
    return {{"member", value.member.str()},
            {"api_address", value.api_address},
            {"peer_address", value.peer_address},
            {"availability_zone", value.zone.str()},
            {"alive", value.alive},
            {"next_offset", value.next_offset}};
}

json view_of(const control::partition_view& value)
{
    return {{"partition", value.partition},
            {"holder", value.holder.str()},
            {"epoch", value.epoch},
            {"settled", value.settled},
            {"vms", value.vms},
            {"queued_tasks", value.queued_tasks},
            {"running_tasks", value.running_tasks}};
}

json view_of(const control::config_entry& value)
{
    auto document = json::parse(value.content, nullptr, false);
    if (document.is_discarded())
        document = value.content;
    return {{"name", value.name},
            {"revision", value.revision},
            {"document", std::move(document)}};
}

template <typename Item>
json list_of(std::span<const Item> items)
{
    auto list = json::array();
    for (const auto& it : items)
        list.push_back(view_of(it));
    return list;
}

} // namespace

std::string to_json(const control::job_status& value)
{
    return write(view_of(value));
}

std::string to_json(std::span<const control::job_status> jobs)
{
    return write({{"jobs", list_of(jobs)}});
}

std::string to_json(const control::cell_view& value)
{
    return write({{"members", list_of(std::span{value.members})},
                  {"partitions", list_of(std::span{value.partitions})},
                  {"next_offset", value.next_offset}});
}

std::string to_json(std::span<const control::config_entry> documents,
                    std::uint64_t applied)
{
    return write({{"documents", list_of(documents)}, {"applied", applied}});
}

std::string to_json(const control::cancel_outcome& value)
{
    return write(
        {{"in_effect", value.in_effect}, {"recorded", value.recorded}});
}

std::string accepted_json(const job_id& job, record_number record)
{
    return write({{"job", job.str()}, {"offset", record}});
}

std::string published_json(record_number revision)
{
    return write({{"revision", revision}});
}

} // namespace rosemarytrail::daemon
