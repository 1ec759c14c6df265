#ifndef ROSEMARYTRAIL_FLEET_LEDGER_CODEC_HPP
#define ROSEMARYTRAIL_FLEET_LEDGER_CODEC_HPP

#include <rosemarytrail/fleet/job.hpp>
#include <rosemarytrail/fleet/run_times.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Kinds of ledger entries. */
enum class entry_kind : std::uint8_t
{
    job,
    cancellation,
    progress,
    advice,
    outcome,
    leader,
    /** @brief Last entry of each batch; reading it back confirms to the leader
     * that the batch was appended. */
    batch_mark,
    /** @brief Last epoch whose leader may have renewed a worker's lease. */
    worker,
    /** @brief Observed run times of images and queues. */
    run_times,
    /** @brief Number of completed occurrences of a job, from the first on; the
     * ledger holds no progress of these. */
    occurrences
};

/** @brief Key of a ledger entry; only some kinds use `step`. */
struct entry_key
{
    entry_kind kind{entry_kind::job};
    step_key step;
    /** @brief Worker id; used by worker entries only. */
    std::string worker;
    /** @brief First task of the step whose progress the entry holds; used by
     * progress entries only. */
    std::uint32_t first_task{};
};

/** @brief Final state of a job. */
struct job_outcome
{
    job_state state{job_state::completed};
    /** @brief When it was reached, in Unix milliseconds. */
    std::int64_t unix_ms{};
};

/** @brief Record of a worker in the ledger. */
struct worker_record
{
    /** @brief Last epoch whose leader may have renewed its lease. */
    std::uint64_t epoch{};
    /** @brief IP address and port; used to reach the worker while the directory
     * does not list it. */
    std::string address;
    /** @brief That leader may still renew the lease; false once the worker
     * stopped responding. */
    bool renewing{true};
    /** @brief Start time of the incarnation, in Unix milliseconds; zero if
     * unknown. */
    std::int64_t incarnation{};
    /** @brief Calls to the previous incarnation, whose clock was another one,
     * may have extended the lease of this one up to the maximum length. */
    bool restarted{false};
};

/** @brief Leader node and its fencing epoch. */
struct leader_record
{
    std::uint64_t epoch{};
    std::string node;
};

/** @brief Marker at the end of a batch of the leader. */
struct batch_mark
{
    std::uint64_t epoch{};
    std::uint64_t sequence{};

    friend bool operator==(const batch_mark&, const batch_mark&) = default;
};

/**
 * @brief Returns how many tasks share a progress entry, so that its size does
 * not grow with the step.
 * @param max_attempts Number of failed runs that are kept of each task.
 * @return Number of tasks, at least one.
 */
[[nodiscard]] std::uint32_t tasks_per_entry(std::uint32_t max_attempts);

/** @brief Entry to write; no value removes the key. */
struct ledger_entry
{
    std::string key;
    std::optional<std::string> value;
};

/**
 * @brief Returns the entry that removes the progress of some tasks.
 * @param first First task of the progress entry.
 * @return Entry without a value.
 */
[[nodiscard]] ledger_entry progress_removal(const task_key& first);

/**
 * @brief Encodes a key.
 * @param it Key.
 * @return Key of the ledger entry as text.
 */
[[nodiscard]] std::string encode_key(const entry_key& it);

/**
 * @brief Decodes a key.
 * @param text Key of a ledger entry.
 * @return Decoded key, or nothing if its kind is unknown or it is malformed.
 */
[[nodiscard]] std::optional<entry_key> decode_key(std::string_view text);

/**
 * @brief Encodes a value.
 * @param it Value.
 * @return Encoded bytes.
 */
[[nodiscard]] std::string encode(const job_record& it);

/**
 * @brief Encodes the progress of some tasks of a step. Of a task that is done,
 * only that is kept.
 * @param it Progress of each task.
 * @return Encoded bytes.
 */
[[nodiscard]] std::string encode(std::span<const task_progress> it);

/**
 * @brief Encodes the number of completed occurrences of a job.
 * @param completed Number of occurrences.
 * @return Encoded bytes.
 */
[[nodiscard]] std::string encode_occurrences(std::uint32_t completed);

/** @copydoc encode(const job_record&) */
[[nodiscard]] std::string encode(const advice_grant& it);

/** @copydoc encode(const job_record&) */
[[nodiscard]] std::string encode(const job_outcome& it);

/** @copydoc encode(const job_record&) */
[[nodiscard]] std::string encode(const leader_record& it);

/** @copydoc encode(const job_record&) */
[[nodiscard]] std::string encode(const batch_mark& it);

/** @copydoc encode(const job_record&) */
[[nodiscard]] std::string encode(const worker_record& it);

/** @copydoc encode(const job_record&) */
[[nodiscard]] std::string encode(std::span<const run_time_ratio> it);

/**
 * @brief Decodes a value.
 * @param bytes Encoded bytes.
 * @return Decoded value, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<job_record> decode_job(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<std::vector<task_progress>>
decode_progress(std::string_view bytes);

/**
 * @brief Tells whether progress names a task of which a run has begun, without
 * decoding it.
 * @param bytes Encoded progress.
 * @return True if there is one; false for values of earlier versions.
 */
[[nodiscard]] bool records_start(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<std::uint32_t>
decode_occurrences(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<advice_grant> decode_advice(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<job_outcome> decode_outcome(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<leader_record>
decode_leader(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<batch_mark>
decode_batch_mark(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<worker_record>
decode_worker(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<std::vector<run_time_ratio>>
decode_run_times(std::string_view bytes);

} // namespace rosemarytrail::fleet

#endif
