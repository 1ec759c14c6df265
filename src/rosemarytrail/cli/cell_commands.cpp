#include <rosemarytrail/cli/exposition.hpp>
#include <rosemarytrail/cli/subcommands.hpp>

#include <nlohmann/json.hpp>

#include <initializer_list>

namespace rosemarytrail::cli {

namespace {

using nlohmann::json;

/** @brief Column of a table and the field of JSON that fills it. */
struct column
{
    const char* head;
    const char* field;
};

reply read(const context& it, const std::string& path)
{
    return it.entries.send(
        {.path = path, .headers = {{"X-Operator-Key", it.asked.operator_key}}});
}

exit_code write_failure(const context& it, const reply& outcome)
{
    it.out.write_error(outcome.why, outcome.not_run);
    return outcome.result;
}

std::string cell_of(const json& object, const char* field)
{
    if (!object.is_object() || !object.contains(field)) {
        return "-";
    }
    const auto& value = object.at(field);
    if (value.is_string()) {
        const auto& text = value.get_ref<const std::string&>();
        return text.empty() ? "-" : text;
    }
    return value.is_boolean() ? (value.get<bool>() ? "yes" : "no")
                              : value.dump();
}

void write_list(printer& out, const json& list,
                std::initializer_list<column> columns)
{
    std::vector<table_row> rows(1);
    for (const auto& it : columns) {
        rows.front().emplace_back(it.head);
    }
    for (const auto& object : list) {
        auto& row = rows.emplace_back();
        for (const auto& it : columns) {
            row.push_back(cell_of(object, it.field));
        }
    }
    out.write_table(rows);
}

} // namespace

exit_code run_members(const context& it)
{
    const auto outcome = read(it, "/v1/members");
    if (outcome.result != exit_code::ok) {
        return write_failure(it, outcome);
    }
    const auto& body = outcome.answer->body;
    const auto object = json::parse(body, nullptr, false);
    if (it.out.json()) {
        it.out.write(body);
        return exit_code::ok;
    }
    const auto list = [&object](const char* name) {
        return object.is_object() ? object.value(name, json::array())
                                  : json::array();
    };
    write_list(it.out, list("members"),
               {{"MEMBER", "member"},
                {"ZONE", "availability_zone"},
                {"API", "api_address"},
                {"PEER", "peer_address"},
                {"ALIVE", "alive"},
                {"NEXT OFFSET", "next_offset"}});
    it.out.write("");
    write_list(it.out, list("partitions"),
               {{"PARTITION", "partition"},
                {"HOLDER", "holder"},
                {"EPOCH", "epoch"},
                {"SETTLED", "settled"},
                {"VMS", "vms"},
                {"QUEUED", "queued_tasks"},
                {"RUNNING", "running_tasks"}});
    return exit_code::ok;
}

exit_code run_counters(const context& it)
{
    const auto outcome = read(it, "/metrics");
    if (outcome.result != exit_code::ok) {
        return write_failure(it, outcome);
    }
    const auto samples =
        parse_exposition(outcome.answer->body, it.asked.filter);
    if (it.out.json()) {
        auto list = json::array();
        for (const auto& sample : samples) {
            list.push_back({{"name", sample.name},
                            {"labels", sample.labels},
                            {"value", sample.value}});
        }
        it.out.write(json{{"samples", list}}.dump(
            -1, ' ', false, json::error_handler_t::replace));
        return exit_code::ok;
    }
    std::vector<table_row> rows{{"NAME", "LABELS", "VALUE"}};
    for (const auto& sample : samples) {
        rows.push_back({sample.name,
                        sample.labels.empty() ? "-" : sample.labels,
                        sample.value});
    }
    it.out.write_table(rows);
    return exit_code::ok;
}

} // namespace rosemarytrail::cli
