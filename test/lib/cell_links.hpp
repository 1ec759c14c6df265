#ifndef ROSEMARYTRAIL_TEST_LIB_CELL_LINKS_HPP
#define ROSEMARYTRAIL_TEST_LIB_CELL_LINKS_HPP

#include <test/lib/cell.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::test {

/** @brief End of a link that belongs to one incarnation of one daemon. */
struct link_end
{
    cell& owner;
    std::size_t daemon{};
    std::uint64_t generation{};

    /** @return True if that incarnation still runs, paused or not. */
    [[nodiscard]] bool alive() const
    {
        const auto& it = owner.daemons[daemon];
        return it.generation == generation && it.controller != nullptr;
    }

    /** @brief Brings an answer to the daemon after a delay. */
    void answer(duration delay, std::function<void()> call) const;
};

/** @brief Link to the log. */
class cell_log_link final : public backends::log_client
{
public:
    cell_log_link(cell& owner, std::size_t daemon, std::uint64_t generation)
        : end_{owner, daemon, generation}
    {}

    void append(std::string stream, std::string payload,
                std::function<void(backends::append_outcome)> done) override;
    void read(backends::read_options options,
              std::function<void(backends::read_outcome)> done) override;

private:
    using append_callback = std::function<void(backends::append_outcome)>;
    using read_callback = std::function<void(backends::read_outcome)>;

    void repeat_append(const std::string& stream, const std::string& payload,
                       const message_fate& fate);
    void take_append(const std::string& stream, const std::string& payload,
                     const message_fate& fate, const append_callback& done);
    void take_read(const backends::read_options& options, time_point until,
                   const std::shared_ptr<bool>& answered,
                   const read_callback& done);

    link_end end_;
};

/** @brief Link to the VM list. */
class cell_vm_list_link final : public backends::vm_list_client
{
public:
    cell_vm_list_link(cell& owner, std::size_t daemon, std::uint64_t generation)
        : end_{owner, daemon, generation}
    {}

    void fetch(std::function<void(backends::vm_list_outcome)> done) override;

private:
    link_end end_;
};

/** @brief Link to all workers. */
class cell_worker_link final : public backends::worker_client
{
public:
    cell_worker_link(cell& owner, std::size_t daemon, std::uint64_t generation)
        : end_{owner, daemon, generation}
    {}

    void send(const std::string& address, backends::worker_batch batch,
              std::function<void(backends::worker_outcome)> done) override;

private:
    using callback = std::function<void(backends::worker_outcome)>;

    void repeat(std::size_t vm, const backends::worker_batch& batch,
                const message_fate& fate);
    void take_effect(std::size_t vm, const backends::worker_batch& batch,
                     const message_fate& fate, const callback& done);

    link_end end_;
};

/** @brief Link to the upstreams of services. */
class cell_upstream_link final : public http::client
{
public:
    cell_upstream_link(cell& owner, std::size_t daemon,
                       std::uint64_t generation)
        : end_{owner, daemon, generation}
    {}

    void fetch(http::client_request outgoing, callback done) override;

private:
    void take_effect(std::size_t vm, const http::client_request& outgoing,
                     const message_fate& fate, const callback& done);

    link_end end_;
};

/** @brief Link to the other daemons. */
class cell_peer_link final : public control::peer_network
{
public:
    cell_peer_link(cell& owner, std::size_t daemon, std::uint64_t generation)
        : end_{owner, daemon, generation}
    {}

    void exchange(
        const std::string& address, control::heartbeat mine,
        std::function<void(std::optional<control::heartbeat>)> done) override;
    void
    relay(const std::string& address, std::uint64_t from, std::size_t bytes,
          std::function<void(std::optional<std::vector<backends::log_entry>>)>
              done) override;
    void status(
        const std::string& address, const job_id& job,
        std::function<void(std::optional<control::job_status>)> done) override;
    void cancel(const std::string& address, const job_id& job,
                std::function<void(std::optional<control::cancel_outcome>)>
                    done) override;

private:
    /** Runs a call at another daemon and brings its answer back. */
    template <typename Answer>
    void call(const std::string& address,
              std::function<std::optional<Answer>(control::controller&)> serve,
              std::function<void(std::optional<Answer>)> done);

    link_end end_;
};

} // namespace rosemarytrail::test

#endif
