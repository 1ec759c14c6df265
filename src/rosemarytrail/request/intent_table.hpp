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

/** @brief Idempotency key together with whom it belongs to. */
struct intent_name
{
    team_id team{};
    service_id service{};
    std::string key;

    [[nodiscard]] friend bool operator==(const intent_name&,
                                         const intent_name&) = default;
};

/** @brief Hash of a name, for unordered containers. */
struct intent_name_hash
{
    [[nodiscard]] std::size_t
    operator()(const intent_name& name) const noexcept;
};

/** @brief How far a request that runs at most once has come. */
enum class intent_phase : std::uint8_t
{
    /** @brief Its writer may be running it. */
    open,
    /** @brief It ran and its answer is known. */
    answered,
    /** @brief It ran, but its answer was not kept. */
    ran,
    /** @brief It may have run. */
    unknown
};

/** @brief What the log says of a key. */
struct intent_state
{
    std::uint64_t fingerprint{};
    /** @brief Entry VM that may dispatch the request. */
    incarnation_id writer{};
    /** @brief Number of the record that opened it. */
    record_number number{};
    intent_phase phase{intent_phase::open};
    /** @brief Answer to give again; only the status if `ran`. */
    kept_answer answer{};
};

/** @brief What became of one opening record. */
struct opening
{
    intent_name name;
    /** @brief True if it was the first, so its writer may dispatch. */
    bool won{};
};

/** @brief What became of one batch. */
struct intent_batch_result
{
    std::vector<opening> opened;
    /** @brief Names that the batch closed, whether in force or void. */
    std::vector<intent_name> closed;
    /** @brief True if the batch was seen before; nothing was applied. */
    bool repeated{false};
};

/** @brief Bounds of the table; equal on all entry VMs of a cell. */
struct intent_table_options
{
    /** @brief Newest opened keys that are remembered. */
    std::size_t kept_keys{std::size_t{1} << 18U};
    /** @brief Most bytes of kept bodies; the oldest go first. */
    std::size_t kept_bytes{std::size_t{64} << 20U};
};

/**
 * @brief Keys of requests that run at most once: a pure fold over the stream
 * `intents`.
 *
 * The first opening of a key in the order of the log wins. Only its writer may
 * close it. A close that says "not run" frees the key.
 */
class intent_table
{
public:
    /** @param options Bounds. */
    explicit intent_table(const intent_table_options& options);

    /**
     * @brief Applies the next entry.
     * @param offset Its offset.
     * @param value What it holds; records of other kinds are passed over.
     * @return What became of it.
     */
    intent_batch_result apply(std::uint64_t offset, const state::batch& value);

    /**
     * @brief Finds a key.
     * @param name Name to look up.
     * @return What the log says of it, or null if it is free.
     */
    [[nodiscard]] const intent_state* find(const intent_name& name) const;

    /** @return Keys that are remembered. */
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
    void keep(const intent_name& name, intent_state& it,
              const state::intent_closed& value);
    void forget_oldest_key();
    void forget_oldest_bodies();

    intent_table_options options_;
    std::unordered_map<intent_name, intent_state, intent_name_hash> keys_;
    std::deque<opened_key> order_;
    std::deque<opened_key> bodies_;
    std::map<incarnation_id, std::uint64_t> sequences_;
    std::size_t body_bytes_{};
};

} // namespace rosemarytrail::request

#endif
