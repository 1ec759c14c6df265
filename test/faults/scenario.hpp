#ifndef ROSEMARYTRAIL_TEST_FAULTS_SCENARIO_HPP
#define ROSEMARYTRAIL_TEST_FAULTS_SCENARIO_HPP

#include <test/lib/cell.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::test {

struct scenario;

/** @brief Step of the system's work at which a fault comes. */
struct fault_step
{
    std::string_view name;
    /** @brief Brings the cell to the step; messages then trigger it. */
    std::function<void(scenario&)> act;
    /** @brief Tells whether a message is the step; none: right after `act`. */
    std::function<bool(const scenario&, const message_event&)> is_step;
    /** @brief The message does not leave its sender. */
    bool before_sending{false};
    /** @brief How long after the message the fault comes. */
    duration after{};
    /** @brief The message is a request over TCP. */
    bool over_tcp{false};
};

/** @brief Fault, and how it ends. */
struct fault
{
    std::string_view name;
    std::function<void(scenario&)> strike;
    std::function<void(scenario&)> heal;
    /** @brief Changes the message of the step itself. */
    std::function<void(message_fate&)> change_message{};
    /** @brief Tasks may be lost and run again. */
    bool may_lose_tasks{false};
    /** @brief The process of the step ends, with what it had not sent. */
    bool kills_actor{false};
    /** @brief The message arrives a second time. */
    bool doubles{false};
};

/** @brief A submission of the scenario, and what the caller was told. */
struct tracked_submission
{
    std::string id;
    team_id team;
    control::submit_outcome outcome;
};

/** @brief A request that may not be repeated, and its answer. */
struct tracked_request
{
    std::string key;
    std::shared_ptr<caller_answer> answer;
};

/** @brief One cell of the fault matrix: a step, and the faults that strike. */
struct scenario
{
    /**
     * @brief Prepares a cell with running work.
     * @param it Step to reach.
     * @param with Faults that strike there, in order.
     */
    scenario(const fault_step& it, std::span<const fault* const> with);

    /** @brief Runs to the end and checks the promises. */
    void run();

    void submit(std::size_t daemon, const job_spec& spec);
    void book(std::size_t daemon);

    fault_step step;
    std::vector<const fault*> faults;
    cell world;
    /** @brief Daemon that the step happens in. */
    std::size_t actor{};
    /** @brief VM that the step happens on. */
    std::size_t vm{};
    record_number team_revision{};
    record_number key_revision{};
    std::vector<tracked_submission> submissions;
    std::vector<tracked_request> bookings;
    /** @brief Job that its caller cancelled. */
    std::optional<job_id> cancelled;
    /** @brief Whether the caller was told that it is in effect and recorded. */
    bool cancel_recorded{false};
    bool armed{false};
    bool struck{false};
    bool key_gone{false};
    /** @brief Submission ids of all jobs that ever were in the log. */
    std::set<std::string> logged_submissions;
    /** @brief Tasks whose end is in the log, and since when. */
    std::map<task_ref, time_point> finished_tasks;
    /** @brief Promises broken, one line each. */
    std::set<std::string> broken;

private:
    void prepare();
    void on_message(const message_event& event, message_fate& fate);
    void strike();
    void submit_later();
    void heal();
    void finish();
    void check_not_run();
    void check_jobs();
    void check_cancelled();
    void check_bookings();
    void check_read_your_writes();
    void check_planned_stop();
    void check_reasons();
    void check_starts(const backends::worker_batch& batch);
    void note_records(const std::string& payload);
    [[nodiscard]] std::size_t a_running_daemon() const;
    [[nodiscard]] bool all_over();
};

/** @return Steps, one row of the matrix each. */
[[nodiscard]] const std::vector<fault_step>& fault_steps();

/** @return Faults, one column of the matrix each. */
[[nodiscard]] const std::vector<fault>& all_faults();

/** @return Small batch task of the team `salmon`. */
[[nodiscard]] job_spec small_job(std::uint32_t tasks, duration run_time);

} // namespace rosemarytrail::test

#endif
