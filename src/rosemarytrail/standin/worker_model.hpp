#ifndef ROSEMARYTRAIL_STANDIN_WORKER_MODEL_HPP
#define ROSEMARYTRAIL_STANDIN_WORKER_MODEL_HPP

#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/standin/chance.hpp>
#include <rosemarytrail/standin/fault_mode.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace rosemarytrail::standin {

/** @brief What goes wrong with a worker. */
struct worker_faults
{
    fault_mode mode{fault_mode::up};
    /** @brief Delay of each answer in mode `slow`. */
    duration slow{std::chrono::milliseconds{500}};
    /** @brief Fraction of the tasks that fail soon after their start. */
    double fail_tasks{};
    /** @brief Run times are multiplied by it; above 1 for a straggler. */
    double slow_factor{1.0};
    /** @brief Fraction of batches whose answer is lost after the effect. */
    double lose_answers{};
    /** @brief The VM says in the list that it is about to go. */
    bool leaving{false};
    std::uint64_t seed{1};
};

/** @brief How a worker is built. */
struct worker_options
{
    resources capacity{};
    /** @brief Span from its issue for which a command token counts. */
    duration token_span{std::chrono::seconds{2}};
    /** @brief How old the reported usage is. */
    duration usage_lag{std::chrono::seconds{1}};
    /** @brief First token; a restarted worker must not repeat old ones. */
    std::uint64_t first_token{1};
};

/**
 * @brief Model of a worker: the last word on what runs on its VM.
 *
 * It refuses a batch whole if the epoch is lower than its own, or the token is
 * neither zero nor one that it gave out within the token span. A batch with
 * token zero raises the epoch and asks for the inventory; its commands and its
 * renewal are passed over. An attempt that is over can't be started again by a
 * command that was written before its end was acknowledged, and a stop of an
 * unknown attempt keeps that attempt from starting: both for a token span.
 */
class worker_model
{
public:
    /**
     * @brief Makes a worker on which nothing runs.
     * @param options How it is built.
     * @param faults What goes wrong from the start.
     */
    explicit worker_model(const worker_options& options,
                          const worker_faults& faults = {});

    /** @param faults What goes wrong from now on. */
    void set_faults(const worker_faults& faults);

    /** @return What goes wrong. */
    [[nodiscard]] const worker_faults& faults() const noexcept
    {
        return faults_;
    }

    /**
     * @brief Carries out a batch.
     * @param batch What to do.
     * @param now Present time on the worker's own clock.
     * @return What was done; the caller decides whether the answer is lost.
     */
    [[nodiscard]] backends::worker_outcome
    apply(const backends::worker_batch& batch, time_point now);

    /** @return Whether the answer to the batch just applied is to be lost. */
    [[nodiscard]] bool loses_answer()
    {
        return chance_.hit(faults_.lose_answers);
    }

    /**
     * @brief Ends what is over: run times and leases.
     * @param now Present time.
     */
    void advance(time_point now);

    /** @return Committed to running tasks. */
    [[nodiscard]] const resources& committed() const noexcept
    {
        return committed_;
    }

    /** @return Epoch that the worker holds. */
    [[nodiscard]] record_number epoch() const noexcept { return epoch_; }

    /**
     * @brief Tells whether a service runs here; call advance() before.
     * @param service Service to look up.
     * @return True if a task of the service runs.
     */
    [[nodiscard]] bool serves(const service_id& service) const;

    /**
     * @brief Tells whether a task runs here.
     * @param task Task to look up.
     * @return True if any attempt of the task runs.
     */
    [[nodiscard]] bool runs(const task_ref& task) const;

    /** @param n Requests in the slots of the VM, for its reports. */
    void set_busy_slots(std::uint32_t n) noexcept { busy_slots_ = n; }

private:
    /** @brief Name of one attempt. */
    struct attempt_key
    {
        task_ref task{};
        std::uint32_t attempt{};

        // clang-tidy takes the rewritten comparison for a null pointer.
        // NOLINTBEGIN(modernize-use-nullptr)
        [[nodiscard]] friend auto operator<=>(const attempt_key&,
                                              const attempt_key&) = default;
        // NOLINTEND(modernize-use-nullptr)
    };

    /** @brief Task that runs, or has ended and is not acknowledged. */
    struct task_state
    {
        backends::task_phase phase{backends::task_phase::running};
        resources request{};
        service_id service{};
        time_point started{};
        time_point ended{};
        /** @brief When it ends by itself; nothing for a service. */
        std::optional<time_point> due{};
        backends::task_phase due_phase{backends::task_phase::succeeded};
        time_point lease_until{};
        std::optional<time_point> throttled{};
        std::int64_t throttled_millicores{};
    };

    /** @brief Token that still counts. */
    struct issued_token
    {
        std::uint64_t token{};
        time_point until{};
    };

    using task_map = std::map<attempt_key, task_state>;

    [[nodiscard]] bool token_counts(std::uint64_t token, time_point now) const;
    [[nodiscard]] std::uint64_t issue_token(time_point now);
    [[nodiscard]] backends::worker_outcome refuse(result_code code) const;
    [[nodiscard]] result_code carry_out(const backends::worker_command& command,
                                        duration lease, time_point now);
    [[nodiscard]] result_code start(const backends::worker_command& command,
                                    duration lease, time_point now);
    [[nodiscard]] result_code end_by_command(const attempt_key& key,
                                             backends::task_phase phase,
                                             time_point now);
    [[nodiscard]] result_code throttle(const backends::worker_command& command,
                                       time_point now);
    [[nodiscard]] result_code acknowledge(const attempt_key& key,
                                          time_point now);
    void end(task_state& task, backends::task_phase phase, time_point at);
    void renew(duration lease, time_point now);
    void forget(time_point now);
    [[nodiscard]] backends::task_report report(const attempt_key& key,
                                               const task_state& task,
                                               time_point now) const;

    worker_options options_;
    worker_faults faults_;
    chance chance_;
    record_number epoch_{};
    std::uint64_t next_token_;
    std::deque<issued_token> tokens_;
    std::uint32_t busy_slots_{};
    resources committed_{};
    task_map tasks_;
    /** @brief Attempts that may not start any more, until the time given. */
    std::map<attempt_key, time_point> over_;
};

} // namespace rosemarytrail::standin

#endif
