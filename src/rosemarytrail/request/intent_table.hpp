#ifndef ROSEMARYTRAIL_REQUEST_INTENT_TABLE_HPP
#define ROSEMARYTRAIL_REQUEST_INTENT_TABLE_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/request/intent_store.hpp>
#include <rosemarytrail/state/record.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::request {

/** @brief Idempotency key with the team and service that scope it. */
struct intent_name
{
    team_id team{};
    service_id service{};
    std::string key;

    [[nodiscard]] friend bool operator==(const intent_name&,
                                         const intent_name&) = default;
};

/** @brief Hash function for unordered containers. */
struct intent_name_hash
{
    [[nodiscard]] std::size_t
    operator()(const intent_name& name) const noexcept;
};

/** @brief Progress of a request that runs at most once. */
enum class intent_phase : std::uint8_t
{
    /** @brief The writer may be running the request. */
    open,
    /** @brief The request ran and its response is stored. */
    answered,
    /** @brief The request ran, but its response is not stored. */
    ran,
    /** @brief The request may have run. */
    unknown
};

/** @brief State of a key as recorded in the log. */
struct intent_state
{
    std::uint64_t fingerprint{};
    /** @brief Entry VM that may dispatch the request. */
    incarnation_id writer{};
    /** @brief Number of the record that opened the intent. */
    record_number number{};
    intent_phase phase{intent_phase::open};
    /** @brief Response to replay; only the status if `ran`. */
    stored_response answer{};
};

/** @brief Result of one record that opens an intent. */
struct intent_open_result
{
    intent_name name;
    /**
     * @brief True if the record was the first for its key, so its writer may
     * dispatch the request.
     */
    bool won{};
};

/** @brief Result of applying one batch. */
struct intent_batch_result
{
    std::vector<intent_open_result> opened;
    /**
     * @brief Names in the close records of the batch, including those without
     * effect.
     */
    std::vector<intent_name> closed;
    /** @brief True if the batch was applied before; it is ignored. */
    bool repeated{false};
};

/** @brief Limits of the table; must be equal on all entry VMs of a cell. */
struct intent_table_options
{
    /** @brief Maximum number of keys; the oldest are evicted first. */
    std::size_t max_keys{std::size_t{1} << 18U};
    /**
     * @brief Maximum total size of stored bodies, in bytes; the oldest are
     * evicted first.
     */
    std::size_t max_body_bytes{std::size_t{64} << 20U};
};

/**
 * @brief Keys of requests that run at most once: a pure fold over the stream
 * `intents`.
 *
 * The first record in log order that opens a key wins. Only its writer may
 * close it. A close with `ran` false frees the key.
 */
class intent_table
{
public:
    /** @param options Limits. */
    explicit intent_table(const intent_table_options& options);

    /**
     * @brief Applies the next log entry.
     * @param offset Offset of the entry.
     * @param value Batch in the entry; records of other types are skipped.
     * @return Result of applying it.
     */
    intent_batch_result apply(std::uint64_t offset, const state::batch& value);

    /**
     * @brief Finds a key.
     * @param name Name to look up.
     * @return State of the key, or null if it is free.
     */
    [[nodiscard]] const intent_state* find(const intent_name& name) const;

    /** @return Number of stored keys. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct opened_key
    {
        intent_name name;
        record_number number{};
    };

    [[nodiscard]] bool open(const state::intent_opened& value,
                            const incarnation_id& writer, record_number number);
    void close(const state::intent_closed& value, const incarnation_id& writer);
    void store_response(const intent_name& name, intent_state& it,
                        const state::intent_closed& value);
    void evict_oldest_key();
    void evict_oldest_bodies();

    intent_table_options options_;
    std::unordered_map<intent_name, intent_state, intent_name_hash> keys_;
    std::deque<opened_key> opened_keys_;
    std::deque<opened_key> stored_bodies_;
    std::map<incarnation_id, std::uint64_t> sequences_;
    std::size_t body_bytes_{};
};

} // namespace rosemarytrail::request

#endif
