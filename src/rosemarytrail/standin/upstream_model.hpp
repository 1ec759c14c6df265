#ifndef ROSEMARYTRAIL_STANDIN_UPSTREAM_MODEL_HPP
#define ROSEMARYTRAIL_STANDIN_UPSTREAM_MODEL_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/standin/chance.hpp>
#include <rosemarytrail/standin/fault_mode.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace rosemarytrail::standin {

/** @brief What goes wrong with an upstream. */
struct upstream_faults
{
    fault_mode mode{fault_mode::up};
    /** @brief Additional service time in mode `slow`. */
    duration slow{std::chrono::milliseconds{500}};
    /** @brief Time that a request takes. */
    duration service{};
    /** @brief Fraction that runs and is answered with 500. */
    double fail{};
    /** @brief Fraction that is refused and does not run. */
    double refuse{};
    /** @brief Fraction that runs and whose answer is cut off. */
    double cut_off{};
    /** @brief Fraction that runs and is answered late. */
    double late{};
    /** @brief Delay of a late answer. */
    duration late_by{std::chrono::seconds{2}};
    /** @brief Fraction that runs and gets the id of another request. */
    double crossed{};
    /** @brief Fraction that runs and is answered twice. */
    double doubled{};
    /** @brief It refuses all new requests. */
    bool leaving{false};
    std::uint64_t seed{1};
};

/** @brief How an upstream is built. */
struct upstream_options
{
    /** @brief Requests that run at once; more are refused. */
    std::uint32_t slots{8};
};

/** @brief Request to an upstream, as far as the model looks at it. */
struct upstream_request
{
    service_id service{};
    std::string request_id;
    /** @brief Key under which runs are counted, if any. */
    std::string idempotency_key;
    /** @brief Whether it changes something. */
    bool writes{false};
    /** @brief Version that a read must have reached. */
    std::uint64_t read_offset{};
};

/** @brief What an upstream does with a request. */
enum class upstream_action : std::uint8_t
{
    /** @brief It runs and is answered. */
    answer,
    /** @brief It does not run; the answer says so. */
    refuse,
    /** @brief It does not run; the connection is closed. */
    drop,
    /** @brief It runs and is answered with 500. */
    fail,
    /** @brief It runs and the answer is cut off. */
    cut_off,
    /** @brief It runs and is answered twice. */
    answer_twice
};

/** @brief Decision on a request. */
struct upstream_reply
{
    upstream_action action{upstream_action::answer};
    /** @brief Time until the answer; the slot is taken until then. */
    duration delay{};
    /** @brief Id that the answer bears. */
    std::string request_id;
    /** @brief How often this idempotency key has run, this time included. */
    std::uint64_t run{};
    /** @brief Version that the service has reached here. */
    std::uint64_t write_offset{};

    /** @return True if the request runs, and end() is to be called. */
    [[nodiscard]] bool runs() const noexcept
    {
        return action != upstream_action::refuse &&
               action != upstream_action::drop;
    }
};

/** @brief Counts how often each idempotency key has run. */
class run_counter
{
public:
    /**
     * @brief Counts one run.
     * @param key Idempotency key; an empty one is not counted.
     * @return Runs of the key, this one included; 1 for an empty key.
     */
    std::uint64_t add(const std::string& key);

    /**
     * @brief Reads the count of a key.
     * @param key Idempotency key.
     * @return How often it has run.
     */
    [[nodiscard]] std::uint64_t runs(const std::string& key) const;

    /** @return Most runs of any key; 1 is what callers rely on. */
    [[nodiscard]] std::uint64_t most() const noexcept { return most_; }

private:
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t most_{};
};

/** @brief Model of an upstream: slots, runs by key, and faults. */
class upstream_model
{
public:
    /**
     * @brief Makes an idle upstream.
     * @param options How it is built.
     * @param counter Counts the runs; upstreams may share it, to find a
     * request that ran on two of them; it outlives them.
     * @param faults What goes wrong from the start.
     */
    upstream_model(const upstream_options& options, run_counter& counter,
                   const upstream_faults& faults = {});

    /** @param faults What goes wrong from now on. */
    void set_faults(const upstream_faults& faults);

    /** @return What goes wrong. */
    [[nodiscard]] const upstream_faults& faults() const noexcept
    {
        return faults_;
    }

    /**
     * @brief Decides on a request, which takes a slot if it runs.
     * @param incoming Request.
     * @return What to do with it.
     */
    [[nodiscard]] upstream_reply begin(const upstream_request& incoming);

    /** @brief Frees the slot of one request that ran. */
    void end() noexcept;

    /** @return Requests in slots. */
    [[nodiscard]] std::uint32_t busy() const noexcept { return busy_; }

private:
    [[nodiscard]] bool refuses(const upstream_request& incoming);
    [[nodiscard]] upstream_action choose_action();

    upstream_options options_;
    upstream_faults faults_;
    chance chance_;
    std::uint32_t busy_{};
    std::string last_id_;
    run_counter& counter_;
    std::map<service_id, std::uint64_t> write_offsets_;
};

} // namespace rosemarytrail::standin

#endif
