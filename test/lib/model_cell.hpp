#ifndef ROSEMARYTRAIL_TEST_LIB_MODEL_CELL_HPP
#define ROSEMARYTRAIL_TEST_LIB_MODEL_CELL_HPP

#include <rosemarytrail/cell/node.hpp>
#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/http/client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarytrail::test {

/** @brief Event loop that the test's own thread runs. */
class stepped_loop final : public http::event_loop
{
public:
    void fetch(http::client_request outgoing, callback done) override;
    void post(task work) override;
    void post_at(time_point at, task work) override;

    /**
     * @brief Runs what is due until a condition holds.
     * @param done Condition.
     * @param most Longest time to run.
     * @return Whether the condition held.
     */
    bool run_until(const std::function<bool()>& done, duration most);

private:
    std::multimap<time_point, task> due_;
};

/** @brief Store in memory that answers repeats as the platform's does. */
class model_store final : public cell::store
{
public:
    explicit model_store(stepped_loop& loop)
        : loop_{loop}
    {}

    void append(cell::append_request request,
                std::function<void(cell::append_answer)> done) override;
    void read(const cell::read_request& request,
              std::function<void(cell::feed_page)> done) override;
    void newest(cell::feed which, std::string_view after,
                std::function<void(cell::newest_page)> done) override;
    void join(cell::node_group group, std::string_view member,
              std::uint64_t generation, duration lifetime,
              std::function<void(cell::membership)> done) override;
    void members(std::function<void(std::optional<std::vector<std::string>>)>
                     done) override;
    void leave(cell::node_group group, std::string_view member,
               std::function<void(cell::store_result)> done) override;

    /** @brief Adds a record as its writer outside of the nodes does. */
    void put(cell::feed which, std::string key, std::string value);

    /** @brief Executes the appends of the delayed key, and delays no more. */
    void release();

    /** @brief Nodes that have joined. */
    std::vector<std::string> names;
    /** @brief Candidates for leadership; the first one is elected. */
    std::vector<std::string> candidates;
    /** @brief Nodes that join without being listed as members. */
    std::set<std::string> unlisted;
    /** @brief Number of reads of each feed. */
    std::map<cell::feed, std::size_t> reads;
    /** @brief Elects every candidate, not only the first. */
    bool elects_all{false};
    /** @brief Leaves whoever loads the ledger without an answer. */
    bool withholds_ledger{false};
    /** @brief Response time of each call. */
    duration answer_time{std::chrono::milliseconds{2}};
    /** @brief Number of appends that included each key. */
    std::map<std::string, std::size_t> appended;
    /** @brief Rejects all appends, reads and joins. */
    bool down{false};
    /** @brief Does not respond to the appends of the leader, nor execute
     * them. */
    bool ignores_leader{false};
    /** @brief Rejects the appends of the leader. */
    bool refuses_leader{false};
    /** @brief Keys in appends of the leader that had no effect. */
    std::set<std::string, std::less<>> ineffective_keys;
    /** @brief Rejects all appends. */
    bool refuses_appends{false};
    /** @brief Key whose records it never accepts; it rejects each append that
     * includes one. */
    std::string rejected_key;
    /** @brief Number of next appends of the leader that are executed without a
     * response. */
    std::size_t leader_responses_to_lose{};
    /** @brief Number of next claims of leadership that are executed only after
     * their timeout. */
    std::size_t claims_to_delay{};
    /** @brief How long after its timeout such a claim is executed. */
    duration claim_delay{std::chrono::milliseconds{30}};
    /** @brief The record of another writer arrives just before each append. */
    bool has_other_writers{false};
    /** @brief Appends with an entry of this key are not executed until
     * `release`. */
    std::optional<std::string> delayed_key;

private:
    void answer(std::function<void()> with);
    void answer_read(cell::read_request request,
                     std::function<void(cell::feed_page)> done);

    stepped_loop& loop_;
    std::map<cell::feed, std::vector<cell::feed_record>> records_;
    std::vector<std::function<void()>> delayed_;
    std::uint64_t epoch_{};
    std::uint64_t sequence_{};
};

/** @brief Workers that respond to each poll at once and start every requested
 * task. */
class model_workers final : public cell::worker_port
{
public:
    explicit model_workers(stepped_loop& loop)
        : loop_{loop}
    {}

    void start(const fleet::start_request& request,
               std::function<void(fleet::start_response)> done) override;
    void stop(const fleet::stop_request& request,
              std::function<void(bool)> done) override;
    void throttle(const fleet::throttle_request& request,
                  std::function<void(bool)> done) override;
    void poll(const fleet::poll_request& request,
              std::function<void(fleet::poll_result, fleet::poll_response)>
                  done) override;

    std::vector<fleet::poll_request> polls;
    std::vector<fleet::start_request> starts;
    /** @brief Result of each start request. */
    fleet::start_result answer{fleet::start_result::started};

private:
    stepped_loop& loop_;
};

/** @brief Advice service that grants all workers of a request. */
class model_advice final : public cell::advice_port
{
public:
    explicit model_advice(stepped_loop& loop)
        : loop_{loop}
    {}

    void advise(const fleet::step_key& step,
                std::span<const std::string> workers, duration timeout,
                std::function<void(cell::advice_answer)> done) override;

    std::vector<fleet::step_key> requests;

private:
    stepped_loop& loop_;
};

/** @brief Peers within one test: messages reach the other node's loop. */
class model_peers final : public cell::peer_link
{
public:
    explicit model_peers(stepped_loop& loop)
        : loop_{loop}
    {}

    void forward(std::string_view address, const cell::client_call& call,
                 duration timeout, callback done) override;
    void
    query_call(std::string_view address, const cell::call_number& number,
               duration timeout,
               std::function<void(const cell::call_report&)> done) override;
    void send(std::string_view address, const cell::peer_message& message,
              duration timeout,
              std::function<void(cell::message_result)> done) override;
    void send_calls(std::string_view address,
                    const cell::worker_call_batch& batch, duration timeout,
                    std::function<void(cell::message_result)> done) override;
    void send_results(std::string_view address,
                      const cell::worker_result_batch& batch, duration timeout,
                      std::function<void(cell::message_result)> done) override;
    void query_leader(std::string_view address, duration timeout,
                      std::function<void(cell::leader_query_result,
                                         const cell::leader_status&)>
                          done) override;

    /** @brief Reports to the callers that the calls and status queries without
     * a response have timed out. */
    void time_out();

    /** @brief Nodes by address. */
    std::map<std::string, cell::node*> nodes;
    /** @brief Number of advice requests sent, by address. */
    std::map<std::string, std::size_t> advice_requests;
    /** @brief Number of next calls that are served but get no response. Their
     * peers do not respond to status queries either. */
    std::size_t responses_to_lose{};
    /** @brief Nodes whose build does not know status queries. */
    std::set<std::string, std::less<>> without_status;
    /** @brief Number of forwarded calls. */
    std::size_t forwarded{};

private:
    /** @brief Hands a message to a node; refused if there is none. */
    void deliver(std::string_view address,
                 std::function<void(cell::message_result)> done,
                 std::function<bool(cell::node&)> accept);

    std::vector<callback> unanswered_;
    std::vector<std::function<void(const cell::call_report&)>>
        unanswered_queries_;
    std::set<std::string, std::less<>> silent_;
    stepped_loop& loop_;
};

/**
 * @brief Submission of a job of one task to the queue with the host `h` and the
 * path prefix `/q/`.
 * @param id Job.
 * @param deadline Deadline of the call.
 * @return Call.
 */
[[nodiscard]] cell::client_call submission_of(std::uint64_t id,
                                              time_point deadline);

/** @brief Takes any configuration record for one queue, and names workers. */
class model_formats final : public cell::decoder
{
public:
    [[nodiscard]] std::optional<fleet::cell_config>
    configuration(const cell::feed_record& record) const override;
    /** @brief A key `e/ZONE` requests the evacuation of the zone; the value
     * `off` withdraws it, and any value but `on` is malformed. */
    [[nodiscard]] std::optional<fleet::zone_evacuation>
    evacuation(const cell::feed_record& record) const override;
    [[nodiscard]] std::optional<fleet::worker_vm>
    worker(const cell::feed_record& record, std::string& why) const override;

    /** @brief Cost of advice on the queue `q`; none if it needs no advice. */
    std::optional<fleet::advice_policy> advice;
    /** @brief Share of the account `a` with the key `k`, in jobs per second; no
     * such account if zero. */
    double account_weight{};
};

} // namespace rosemarytrail::test

#endif
