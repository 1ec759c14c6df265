#include <rosemarytrail/documents/document.hpp>

#include <rosemarytrail/documents/json_fields.hpp>

#include <array>

namespace rosemarytrail::documents {

namespace {

using nlohmann::json;

constexpr field_codes codes{.not_json = result_code::document_not_json,
                            .unknown = result_code::document_field_unknown,
                            .type = result_code::document_field_type,
                            .range = result_code::document_field_range,
                            .missing = result_code::document_field_missing};

constexpr double most_tasks = 10'000;
constexpr double most_task_millicores = 1'000'000;
constexpr double most_task_memory_mib = 16'777'216;
constexpr double most_task_accelerators = 1'024;
constexpr double most_limit = 1'000'000'000'000;
/** @brief Thirty days. */
constexpr double most_run_time_ms = 2'592'000'000;
constexpr double most_priority = 9;
constexpr double most_attempts = 100;
constexpr double least_weight = 0.001;
constexpr double most_weight = 1'000'000;

bool is_job_kind(std::string_view text) noexcept
{
    return text == "job";
}

bool is_published_kind(std::string_view text) noexcept
{
    return text == "team" || text == "key";
}

bool is_class(std::string_view text) noexcept
{
    return text == "service" || text == "batch" || text == "gang";
}

bool is_empty_or_identifier(std::string_view text) noexcept
{
    return text.empty() || is_identifier(text);
}

constexpr field_rule identifier_rule(std::string_view name) noexcept
{
    return {.name = name,
            .type = field_type::text,
            .required = true,
            .accepts = is_identifier,
            .allowed = identifier_allowed};
}

constexpr field_rule integer_rule(std::string_view name, double least,
                                  double most, bool required = false) noexcept
{
    return {.name = name,
            .type = field_type::integer,
            .required = required,
            .least = least,
            .most = most};
}

constexpr field_rule boolean_rule(std::string_view name) noexcept
{
    return {.name = name, .type = field_type::boolean};
}

constexpr field_rule object_rule(std::string_view name) noexcept
{
    return {.name = name, .type = field_type::object, .required = true};
}

constexpr field_rule published_kind_rule{.name = "kind",
                                         .type = field_type::text,
                                         .required = true,
                                         .accepts = is_published_kind,
                                         .allowed = "team or key"};

constexpr std::array job_rules{field_rule{.name = "kind",
                                          .type = field_type::text,
                                          .required = true,
                                          .accepts = is_job_kind,
                                          .allowed = "job"},
                               identifier_rule("name"),
                               identifier_rule("team"),
                               field_rule{.name = "class",
                                          .type = field_type::text,
                                          .required = true,
                                          .accepts = is_class,
                                          .allowed = "service, batch or gang"},
                               field_rule{.name = "service",
                                          .type = field_type::text,
                                          .accepts = is_empty_or_identifier,
                                          .allowed = identifier_allowed},
                               integer_rule("tasks", 1, most_tasks),
                               object_rule("request"),
                               integer_rule("run_time_ms", 0, most_run_time_ms),
                               boolean_rule("urgent"),
                               integer_rule("priority", 0, most_priority),
                               integer_rule("max_attempts", 1, most_attempts),
                               boolean_rule("checkpointable")};

constexpr std::array request_rules{
    integer_rule("millicores", 1, most_task_millicores, true),
    integer_rule("memory_mib", 0, most_task_memory_mib, true),
    integer_rule("accelerators", 0, most_task_accelerators)};

constexpr std::array limit_rules{
    integer_rule("millicores", 0, most_limit, true),
    integer_rule("memory_mib", 0, most_limit, true),
    integer_rule("accelerators", 0, most_limit, true)};

constexpr std::array team_rules{published_kind_rule, identifier_rule("team"),
                                field_rule{.name = "weight",
                                           .type = field_type::number,
                                           .required = true,
                                           .least = least_weight,
                                           .most = most_weight},
                                object_rule("limit")};

constexpr std::array key_rules{published_kind_rule,
                               identifier_rule("key"),
                               identifier_rule("team"),
                               identifier_rule("account"),
                               field_rule{.name = "salt",
                                          .type = field_type::text,
                                          .required = true,
                                          .accepts = is_salt,
                                          .allowed = salt_allowed},
                               field_rule{.name = "hash",
                                          .type = field_type::text,
                                          .required = true,
                                          .accepts = is_hash,
                                          .allowed = hash_allowed},
                               boolean_rule("withdrawn")};

std::string_view class_name(job_class policy) noexcept
{
    constexpr std::array<std::string_view, 3> names{"service", "batch", "gang"};
    return names[static_cast<std::size_t>(policy)];
}

job_class class_of(std::string_view name) noexcept
{
    if (name == "service") {
        return job_class::service;
    }
    return name == "gang" ? job_class::gang : job_class::batch;
}

resources read_resources(const json& object)
{
    return {.millicores = object.at("millicores").get<std::int64_t>(),
            .memory_mib = object.at("memory_mib").get<std::int64_t>(),
            .accelerators = object.value("accelerators", std::int64_t{0})};
}

json write_resources(const resources& amount)
{
    return {{"millicores", amount.millicores},
            {"memory_mib", amount.memory_mib},
            {"accelerators", amount.accelerators}};
}

/** @brief Checks what the class of a job says about its other fields. */
bool check_class(const job_spec& spec, reason& why)
{
    const bool is_service = spec.policy == job_class::service;
    const auto of_class = " for class " + std::string{class_name(spec.policy)};
    if (is_service && spec.service.empty()) {
        why = {result_code::document_field_missing,
               "field service is missing; allowed" + of_class + ": " +
                   std::string{identifier_allowed}};
        return false;
    }
    if (!is_service && !spec.service.empty()) {
        why = {result_code::document_field_range,
               describe_fault("service", spec.service.str(),
                              "no value" + of_class)};
        return false;
    }
    const auto run_time_ms = to_milliseconds(spec.run_time);
    if (is_service && run_time_ms != 0) {
        why = {result_code::document_field_range,
               describe_fault("run_time_ms", run_time_ms, "0" + of_class)};
        return false;
    }
    if (!is_service && run_time_ms == 0) {
        why = {
            result_code::document_field_range,
            describe_fault("run_time_ms", run_time_ms, "1 or more" + of_class)};
        return false;
    }
    return true;
}

job_spec read_job(const json& object)
{
    const job_spec defaults{};
    return {.name = object.at("name").get<std::string>(),
            .team = team_id{object.at("team").get<std::string>()},
            .policy = class_of(object.at("class").get<std::string>()),
            .service = service_id{object.value("service", std::string{})},
            .tasks = object.value("tasks", defaults.tasks),
            .request = read_resources(object.at("request")),
            .run_time = std::chrono::milliseconds{object.value(
                "run_time_ms", to_milliseconds(defaults.run_time))},
            .urgent = object.value("urgent", defaults.urgent),
            .priority = object.value("priority", defaults.priority),
            .max_attempts = object.value("max_attempts", defaults.max_attempts),
            .checkpointable =
                object.value("checkpointable", defaults.checkpointable)};
}

std::optional<published> read_team(const json& object, reason& why)
{
    if (!check_fields(object, team_rules, codes, "", why) ||
        !check_fields(object.at("limit"), limit_rules, codes, "limit.", why)) {
        return std::nullopt;
    }
    return team_spec{.team = team_id{object.at("team").get<std::string>()},
                     .weight = object.at("weight").get<double>(),
                     .limit = read_resources(object.at("limit"))};
}

std::optional<published> read_key(const json& object, reason& why)
{
    if (!check_fields(object, key_rules, codes, "", why)) {
        return std::nullopt;
    }
    return key_spec{.key = key_id{object.at("key").get<std::string>()},
                    .team = team_id{object.at("team").get<std::string>()},
                    .account = object.at("account").get<std::string>(),
                    .salt = object.at("salt").get<std::string>(),
                    .hash = object.at("hash").get<std::string>(),
                    .withdrawn = object.value("withdrawn", false)};
}

/** @brief Checks the field `kind` alone, which says what the rest may be. */
bool check_published_kind(const json& object, reason& why)
{
    json only_kind = json::object();
    if (object.contains("kind")) {
        only_kind["kind"] = object.at("kind");
    }
    const std::array rules{published_kind_rule};
    return check_fields(only_kind, rules, codes, "", why);
}

json write_document(const team_spec& spec)
{
    return {{"kind", "team"},
            {"team", spec.team.str()},
            {"weight", spec.weight},
            {"limit", write_resources(spec.limit)}};
}

json write_document(const key_spec& spec)
{
    return {{"kind", "key"},
            {"key", spec.key.str()},
            {"team", spec.team.str()},
            {"account", spec.account},
            {"salt", spec.salt},
            {"hash", spec.hash},
            {"withdrawn", spec.withdrawn}};
}

/** @return JSON on one line; bytes that are no UTF-8 are replaced. */
std::string write_line(const json& object)
{
    constexpr int no_indent = -1;
    return object.dump(no_indent, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::optional<job_spec> parse_job(std::string_view text, reason& why)
{
    const auto object = parse_object(text, codes, why);
    if (!object || !check_fields(*object, job_rules, codes, "", why) ||
        !check_fields(object->at("request"), request_rules, codes, "request.",
                      why)) {
        return std::nullopt;
    }
    auto spec = read_job(*object);
    if (!check_class(spec, why)) {
        return std::nullopt;
    }
    return spec;
}

std::optional<published> parse_published(std::string_view text, reason& why)
{
    const auto object = parse_object(text, codes, why);
    if (!object || !check_published_kind(*object, why)) {
        return std::nullopt;
    }
    return object->at("kind") == "team" ? read_team(*object, why)
                                        : read_key(*object, why);
}

std::string format_job(const job_spec& spec)
{
    json object{{"kind", "job"},
                {"name", spec.name},
                {"team", spec.team.str()},
                {"class", class_name(spec.policy)},
                {"tasks", spec.tasks},
                {"request", write_resources(spec.request)},
                {"run_time_ms", to_milliseconds(spec.run_time)},
                {"urgent", spec.urgent},
                {"priority", spec.priority},
                {"max_attempts", spec.max_attempts},
                {"checkpointable", spec.checkpointable}};
    if (!spec.service.empty()) {
        object["service"] = spec.service.str();
    }
    return write_line(object);
}

std::string format_published(const published& document)
{
    return std::visit(
        [](const auto& spec) { return write_line(write_document(spec)); },
        document);
}

} // namespace rosemarytrail::documents
