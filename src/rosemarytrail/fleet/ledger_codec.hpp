#ifndef ROSEMARYTRAIL_FLEET_LEDGER_CODEC_HPP
#define ROSEMARYTRAIL_FLEET_LEDGER_CODEC_HPP

#include <rosemarytrail/fleet/job.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief What the ledger keeps under a key. */
enum class entry_kind : std::uint8_t
{
    job,
    cancellation,
    progress,
    advice,
    outcome,
    leader,
    /** @brief Last entry of each batch; shows the leader that it is there. */
    batch_mark,
    /** @brief Latest epoch whose leader may have renewed a worker's lease. */
    worker
};

/** @brief Key of a ledger entry; `step` counts only for some kinds. */
struct entry_key
{
    entry_kind kind{entry_kind::job};
    step_key step;
    /** @brief Worker, if the entry is about one. */
    std::string worker;
};

/** @brief Final state of a job. */
struct job_outcome
{
    job_state state{job_state::completed};
    /** @brief When it was reached, in Unix milliseconds. */
    std::int64_t unix_ms{};
};

/** @brief What the ledger keeps of a worker. */
struct worker_record
{
    /** @brief Latest epoch whose leader may have renewed its lease. */
    std::uint64_t epoch{};
    /** @brief IP number and port, to find it while it is not listed. */
    std::string address;
    /** @brief That leader may renew it still; false once it fell silent. */
    bool renewing{true};
};

/** @brief Node that leads, and its fencing epoch. */
struct leader_record
{
    std::uint64_t epoch{};
    std::string node;
};

/** @brief Marks a batch of the leader. */
struct batch_mark
{
    std::uint64_t epoch{};
    std::uint64_t sequence{};

    friend bool operator==(const batch_mark&, const batch_mark&) = default;
};

/** @brief Entry to write; no value removes the key. */
struct ledger_entry
{
    std::string key;
    std::optional<std::string> value;
};

/**
 * @brief Writes a key.
 * @param it Key.
 * @return Text that the ledger is keyed by.
 */
[[nodiscard]] std::string encode_key(const entry_key& it);

/**
 * @brief Reads a key.
 * @param text Text from the ledger.
 * @return Key, or nothing if it is of no known kind.
 */
[[nodiscard]] std::optional<entry_key> decode_key(std::string_view text);

/**
 * @brief Writes a value.
 * @param it What to write.
 * @return Bytes for the ledger.
 */
[[nodiscard]] std::string encode(const job_record& it);

/** @copydoc encode(const job_record&) */
[[nodiscard]] std::string encode(std::span<const task_progress> it);

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

/**
 * @brief Reads a value.
 * @param bytes Bytes from the ledger.
 * @return What they hold, or nothing if they are damaged.
 */
[[nodiscard]] std::optional<job_record> decode_job(std::string_view bytes);

/** @copydoc decode_job */
[[nodiscard]] std::optional<std::vector<task_progress>>
decode_progress(std::string_view bytes);

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

} // namespace rosemarytrail::fleet

#endif
