#ifndef ROSEMARYTRAIL_CORE_RESULT_CODE_HPP
#define ROSEMARYTRAIL_CORE_RESULT_CODE_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace rosemarytrail {

/**
 * @brief Numbered result codes, listed in docs/ERRORS.md.
 *
 * A number is never reused with another meaning.
 */
enum class result_code : std::uint16_t
{
    ok = 0,

    // 100: settings, documents and command line
    settings_unreadable = 100,
    settings_not_json = 101,
    settings_field_unknown = 102,
    settings_field_type = 103,
    settings_field_range = 104,
    settings_field_missing = 105,
    document_not_json = 110,
    document_field_unknown = 111,
    document_field_type = 112,
    document_field_range = 113,
    document_field_missing = 114,
    usage = 120,
    unreachable = 121,

    // 200: keys, admission and submission
    key_missing = 200,
    key_unknown = 201,
    key_withdrawn = 202,
    operator_key_wrong = 203,
    not_fresh = 204,
    team_mismatch = 205,
    job_unknown = 206,
    body_too_large = 207,
    path_unknown = 208,
    draining = 209,
    catching_up = 210,
    submission_log_down = 211,
    submission_outcome_unknown = 212,
    account_over_limit = 213,
    queue_full = 214,
    job_too_large = 215,
    job_too_many_tasks = 216,
    job_times_out_of_range = 217,

    // 300: requests to services
    service_unknown = 300,
    no_upstream = 301,
    overloaded = 302,
    team_over_share = 303,
    deadline_passed = 304,
    upstream_refused = 305,
    upstream_cut_off = 306,
    upstream_timed_out = 307,
    answer_crossed = 308,
    outcome_unknown = 309,
    retry_budget_spent = 310,
    request_not_run = 311,
    request_in_progress = 312,
    idempotency_key_missing = 313,
    upstream_ejected = 314,
    request_id_reused = 315,
    upstream_unreachable = 316,
    read_offset_not_reached = 317,
    upstream_failed = 318,

    // 400: why a task waits or is stopped, or a job cannot run
    waiting_for_turn = 400,
    waiting_for_room = 401,
    waiting_for_allowance = 402,
    waiting_for_gang = 403,
    waiting_for_fence = 404,
    waiting_for_retry = 405,
    waiting_for_answer = 406,
    never_fits = 407,
    failed_everywhere = 408,
    attempts_spent = 409,
    over_team_limit = 410,
    vm_set_aside = 411,
    waiting_for_holder = 412,
    preempted = 413,
    straggler = 414,
    limit_lowered = 415,

    // 500: log, state and membership
    log_down = 500,
    log_slow = 501,
    log_trimmed = 502,
    log_over_cap = 503,
    record_torn = 504,
    record_unknown = 505,
    record_repeated = 506,
    record_void_revision = 507,
    record_void_epoch = 508,
    record_void_limit = 509,
    record_void_document = 510,
    record_void_duplicate = 511,
    not_holder = 512,
    peer_unreachable = 513,
    isolated = 514,
    partition_count_mismatch = 515,
    record_void_member = 516,

    // 600: workers and the VM list
    worker_unreachable = 600,
    worker_epoch_refused = 601,
    worker_token_refused = 602,
    worker_full = 603,
    worker_answer_unknown = 604,
    task_failed = 605,
    task_lease_lapsed = 606,
    vm_list_down = 607,
    worker_answer_malformed = 608,
    task_cancelled = 609,
    vm_lost = 610,
    worker_attempt_refused = 611
};

/** @brief Row of the result code table. */
struct result_code_row
{
    result_code code;
    /** @brief Name of the code in source, metrics and logs. */
    std::string_view name;
    /** @brief HTTP status of a response with this code. */
    int http_status;
    /** @brief One-line description. */
    std::string_view meaning;
};

/**
 * @brief Returns the table of all result codes.
 * @return Rows in ascending order of their numbers.
 */
[[nodiscard]] std::span<const result_code_row> result_code_table() noexcept;

/**
 * @brief Looks up the row of a result code.
 * @param code Code to look up.
 * @return Row of the code; the row of `ok` if the code is not in the table.
 */
[[nodiscard]] const result_code_row& describe(result_code code) noexcept;

} // namespace rosemarytrail

#endif
