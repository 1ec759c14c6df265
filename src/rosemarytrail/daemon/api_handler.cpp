#include <rosemarytrail/daemon/api_handler.hpp>

#include <rosemarytrail/daemon/json_views.hpp>
#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/documents/key_secret.hpp>
#include <rosemarytrail/request/authenticator.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

namespace rosemarytrail::daemon {

namespace {

constexpr std::string_view services_prefix = "/v1/services/";
constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr std::size_t max_submission_id_size = 128;
/** Grace period for the controller beyond its own timeout. */
constexpr duration answer_margin{std::chrono::seconds{1}};

enum class audience : std::uint8_t
{
    all,
    callers,
    operators
};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    std::uint64_t value{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

/**
 * Reads a number from a header.
 * @return False if the header is present but not a number.
 */
bool read_number(const http::request& head, std::string_view name,
                 std::optional<std::uint64_t>& value)
{
    const auto shown = http::find_header(head.headers, name);
    value = shown ? parse_number(*shown) : std::nullopt;
    return !shown || value.has_value();
}

reason usage_error(std::string detail)
{
    return {.code = result_code::usage, .detail = std::move(detail)};
}

bool may_have_run(result_code code)
{
    return code == result_code::submission_outcome_unknown ||
           code == result_code::outcome_unknown;
}

std::string name_of(const documents::published& document)
{
    if (const auto* team = std::get_if<team_spec>(&document))
        return "team/" + team->team.str();
    return "key/" + std::get<key_spec>(document).key.str();
}

} // namespace

/** Request in progress. */
struct api_handler::call
{
    std::shared_ptr<http::exchange> exchange;
    std::string request_id;
    /** Path after the prefix of the route. */
    std::string rest;
    /** Team of the caller. */
    team_id team{};

    [[nodiscard]] const http::request& head() const
    {
        return exchange->incoming();
    }
};

/** Entry of the route table. */
struct api_handler::route
{
    std::string_view method;
    std::string_view path;
    /** Whether the route matches longer paths with this prefix. */
    bool has_rest;
    audience who;
    serve_function serve;

    [[nodiscard]] bool matches(const http::request& head) const
    {
        if (method != head.method)
            return false;
        if (!has_rest)
            return head.path == path;
        return head.path.size() > path.size() && head.path.starts_with(path);
    }
};

const api_handler::route* api_handler::find_route(const http::request& head)
{
    using self = api_handler;
    constexpr auto all = audience::all;
    constexpr auto callers = audience::callers;
    constexpr auto operators = audience::operators;
    static constexpr std::array routes{
        route{"GET", "/live", false, all, &self::serve_live},
        route{"GET", "/ready", false, all, &self::serve_ready},
        route{"GET", "/metrics", false, operators, &self::serve_metrics},
        route{"GET", "/v1/members", false, operators, &self::serve_members},
        route{"GET", "/v1/config", false, operators, &self::serve_documents},
        route{"GET", "/v1/config/", true, operators, &self::serve_document},
        route{"PUT", "/v1/config/", true, operators, &self::serve_publication},
        route{"POST", "/v1/vms/", true, operators, &self::serve_declaration},
        route{"POST", "/v1/jobs", false, callers, &self::serve_submission},
        route{"GET", "/v1/jobs", false, callers, &self::serve_jobs},
        route{"GET", "/v1/jobs/", true, callers, &self::serve_status},
        route{"DELETE", "/v1/jobs/", true, callers, &self::serve_cancellation},
    };
    const auto* const found = std::ranges::find_if(
        routes, [&](const route& it) { return it.matches(head); });
    return found == routes.end() ? nullptr : found;
}

api_handler::api_handler(api_options options, const api_ports& ports)
    : options_{std::move(options)}
    , ports_{ports}
    , requests_{ports.metrics.make_counter(
          "rosemarytrail_api_requests_total",
          "Requests to the HTTP interface other than to services.")}
    , refusals_{ports.metrics.make_code_counters(
          "rosemarytrail_api_refusals_total",
          "Requests to the HTTP interface refused, by code.")}
{}

bool api_handler::is_operator(const http::request& head) const
{
    const auto shown = http::find_header(head.headers, "X-Operator-Key");
    const auto hash =
        documents::hash_secret(options_.operator_key_salt, shown.value_or(""));
    return documents::same_hash(hash, options_.operator_key_hash);
}

/** Team of the caller, empty for other roles; nothing if refused. */
std::optional<team_id> api_handler::admit(const route& target,
                                          const http::request& head,
                                          reason& why) const
{
    if (target.who == audience::all)
        return team_id{};
    if (target.who == audience::operators) {
        if (is_operator(head))
            return team_id{};
        why = {.code = result_code::operator_key_wrong};
        return std::nullopt;
    }
    const auto table = ports_.view.table();
    const auto* const key = request::authenticate(
        *table, http::find_header(head.headers, "Authorization"),
        ports_.clock.now(), why);
    if (key == nullptr)
        return std::nullopt;
    return key->team;
}

std::optional<http::response> api_handler::on_head(const http::request& head)
{
    if (head.path.starts_with(services_prefix))
        return ports_.services.on_head(head);
    reason why{.code = result_code::path_unknown};
    const auto* const target = find_route(head);
    if (target != nullptr && admit(*target, head, why))
        return std::nullopt;
    requests_.add();
    refusals_.add(why.code);
    auto answer = to_response({.why = why, .not_run = true});
    answer.headers.push_back({"X-Request-Id", request_id_of(head)});
    return answer;
}

void api_handler::on_request(std::shared_ptr<http::exchange> it)
{
    const auto& head = it->incoming();
    if (head.path.starts_with(services_prefix))
        return ports_.services.on_request(std::move(it));
    requests_.add();
    call made{.exchange = it, .request_id = request_id_of(head), .rest = {}};
    reason why{.code = result_code::path_unknown};
    const auto* const target = find_route(head);
    if (target == nullptr)
        return refuse(made, {.why = why});
    const auto team = admit(*target, head, why);
    if (!team)
        return refuse(made, {.why = why});
    made.team = *team;
    made.rest = head.path.substr(target->path.size());
    (this->*target->serve)(made);
}

void api_handler::sweep(time_point now)
{
    for (const auto& it : waiting_.take_due(now)) {
        const call late{.exchange = it,
                        .request_id = request_id_of(it->incoming()),
                        .rest = {}};
        refuse(late, {.why = {.code = result_code::outcome_unknown},
                      .not_run = false});
    }
}

void api_handler::answer(const call& it, int status, std::string body,
                         std::string content_type) const
{
    it.exchange->respond({.status = status,
                          .headers = {{"Content-Type", std::move(content_type)},
                                      {"X-Request-Id", it.request_id}},
                          .body = std::move(body)});
}

void api_handler::refuse(const call& it, const refusal& value) const
{
    refusals_.add(value.why.code);
    auto answer = to_response(value);
    answer.headers.push_back({"X-Request-Id", it.request_id});
    it.exchange->respond(std::move(answer));
}

duration api_handler::timeout_of(const http::request& head) const
{
    std::optional<std::uint64_t> requested;
    if (!read_number(head, "X-Deadline-Ms", requested) || !requested)
        return options_.request_timeout;
    const auto max_timeout = to_milliseconds(options_.request_timeout);
    return std::chrono::milliseconds{
        std::min(*requested, static_cast<std::uint64_t>(max_timeout))};
}

void api_handler::post(const call& it, controller_access::call work)
{
    const auto deadline =
        ports_.clock.now() + timeout_of(it.head()) + answer_margin;
    if (!ports_.controller.post(std::move(work)))
        return refuse(it, {.why = {.code = result_code::queue_full}});
    waiting_.add(it.exchange, deadline);
}

void api_handler::serve_live(const call& it)
{
    answer(it, status_ok, "{\"live\":true}");
}

void api_handler::serve_ready(const call& it)
{
    const auto why = ports_.view.not_ready(ports_.clock.now());
    if (why)
        return refuse(it, {.why = *why});
    answer(it, status_ok, "{\"ready\":true}");
}

void api_handler::serve_metrics(const call& it)
{
    answer(it, status_ok, ports_.metrics.expose(), "text/plain; version=0.0.4");
}

void api_handler::serve_members(const call& it)
{
    post(it, [this, it](control::controller& target, time_point) {
        answer(it, status_ok, to_json(target.view()));
    });
}

void api_handler::serve_documents(const call& it)
{
    post(it, [this, it](control::controller& target, time_point) {
        const auto documents = target.config();
        answer(it, status_ok, to_json(documents, target.next_offset()));
    });
}

void api_handler::serve_document(const call& it)
{
    post(it, [this, it](control::controller& target, time_point) {
        const auto all = target.config();
        const auto found =
            std::ranges::find(all, it.rest, &control::config_entry::name);
        if (found == all.end()) {
            return refuse(it, {.why = {.code = result_code::path_unknown,
                                       .detail = "no document " + it.rest}});
        }
        const auto tag = "\"" + std::to_string(found->revision) + "\"";
        it.exchange->respond({.status = status_ok,
                              .headers = {{"Content-Type", "application/json"},
                                          {"ETag", tag},
                                          {"X-Request-Id", it.request_id}},
                              .body = found->content});
    });
}

void api_handler::serve_publication(const call& it)
{
    std::optional<std::uint64_t> replaces;
    if (!read_number(it.head(), "If-Match", replaces) || !replaces)
        return refuse(it, {.why = usage_error("If-Match: a revision or 0")});
    reason why;
    const auto document = documents::parse_published(it.head().body, why);
    if (!document)
        return refuse(it, {.why = why});
    const auto name = name_of(*document);
    if (name != it.rest) {
        return refuse(it, {.why = usage_error("the document is named " + name +
                                              ", the path " + it.rest)});
    }
    control::publication value{
        .name = name, .replaces = *replaces, .content = it.head().body};
    const auto done = [this, it](const control::publish_outcome& outcome) {
        if (outcome.revision)
            return answer(it, status_ok, published_json(*outcome.revision));
        refuse(it, {.why = outcome.why,
                    .not_run = !may_have_run(outcome.why.code),
                    .current = outcome.current});
    };
    const auto timeout = timeout_of(it.head());
    post(it, [value, timeout, done](control::controller& target, time_point) {
        target.publish(value, timeout, done);
    });
}

void api_handler::serve_submission(const call& it)
{
    reason why;
    const auto spec = documents::parse_job(it.head().body, why);
    if (!spec)
        return refuse(it, {.why = why});
    if (spec->team != it.team) {
        return refuse(
            it, {.why = {.code = result_code::team_mismatch,
                         .detail = "the key is of team " + it.team.str()}});
    }
    const auto id =
        http::find_header(it.head().headers, "X-Submission-Id").value_or("");
    if (id.size() > max_submission_id_size) {
        return refuse(it, {.why = usage_error(
                               "X-Submission-Id: at most 128 characters")});
    }
    control::submission value{
        .team = it.team, .document = it.head().body, .id = std::string{id}};
    const auto done = [this, it](const control::submit_outcome& outcome) {
        if (!outcome.job) {
            return refuse(it, {.why = outcome.why, .not_run = outcome.not_run});
        }
        answer(it, status_created, accepted_json(*outcome.job, outcome.record));
    };
    const auto timeout = timeout_of(it.head());
    post(it, [value, timeout, done](control::controller& target, time_point) {
        target.submit(value, timeout, done);
    });
}

void api_handler::serve_jobs(const call& it)
{
    post(it, [this, it](control::controller& target, time_point) {
        answer(it, status_ok, to_json(target.list(it.team)));
    });
}

void api_handler::serve_status(const call& it)
{
    std::optional<std::uint64_t> read_from;
    if (!read_number(it.head(), "X-Read-Offset", read_from))
        return refuse(it, {.why = usage_error("X-Read-Offset: a number")});
    const auto done = [this, it](const std::optional<control::job_status>& job,
                                 const reason& why) {
        if (!job)
            return refuse(it, {.why = why});
        answer(it, status_ok, to_json(*job));
    };
    const auto timeout = timeout_of(it.head());
    const auto from = read_from.value_or(0);
    post(it,
         [it, from, timeout, done](control::controller& target, time_point) {
             target.status(it.team, job_id{it.rest}, from, timeout, done);
         });
}

void api_handler::serve_cancellation(const call& it)
{
    const auto done = [this, it](const control::cancel_outcome& outcome) {
        if (outcome.code == result_code::ok)
            return answer(it, status_ok, to_json(outcome));
        const bool nothing = !outcome.in_effect && !outcome.recorded;
        refuse(it, {.why = {.code = outcome.code},
                    .not_run = nothing && !may_have_run(outcome.code)});
    };
    post(it, [it, done](control::controller& target, time_point) {
        target.cancel(it.team, job_id{it.rest}, done);
    });
}

void api_handler::serve_declaration(const call& it)
{
    constexpr std::string_view suffix = "/lost";
    if (!it.rest.ends_with(suffix) || it.rest.size() == suffix.size())
        return refuse(it, {.why = {.code = result_code::path_unknown}});
    const vm_id vm{it.rest.substr(0, it.rest.size() - suffix.size())};
    const auto done = [this, it](const reason& why) {
        if (why.code == result_code::ok)
            return answer(it, status_ok, "{\"recorded\":true}");
        refuse(it, {.why = why, .not_run = !may_have_run(why.code)});
    };
    post(it, [vm, done](control::controller& target, time_point) {
        target.declare_lost(vm, done);
    });
}

} // namespace rosemarytrail::daemon
