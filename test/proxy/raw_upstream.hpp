#ifndef ROSEMARYTRAIL_TEST_PROXY_RAW_UPSTREAM_HPP
#define ROSEMARYTRAIL_TEST_PROXY_RAW_UPSTREAM_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace rosemarytrail::test {

/** @brief Fault injected into one response on the wire. */
enum class wire_fault : std::uint8_t
{
    none,
    /** @brief Response carries the id and body of the previous request. */
    crossed,
    /** @brief The connection is closed after half of the body. */
    cut_off,
    /** @brief The response is sent twice. */
    duplicated,
    /** @brief The request is refused before it runs. */
    refused,
    /** @brief The response is delayed by `late_by`. */
    late
};

/** @brief Counts how often each path ran; shared by all upstreams. */
struct run_log
{
    void add(const std::string& path)
    {
        const std::lock_guard lock{mutex};
        ++runs[path];
    }

    [[nodiscard]] int count(const std::string& path)
    {
        const std::lock_guard lock{mutex};
        const auto it = runs.find(path);
        return it == runs.end() ? 0 : it->second;
    }

    [[nodiscard]] bool empty()
    {
        const std::lock_guard lock{mutex};
        return runs.empty();
    }

    std::mutex mutex;
    std::map<std::string, int> runs;
};

/** @brief HTTP upstream on a raw socket that can write malformed responses. */
class raw_upstream
{
public:
    using fault_source = std::function<wire_fault(const std::string& path)>;

    raw_upstream(run_log& log, fault_source faults,
                 std::chrono::milliseconds late_by);
    raw_upstream(const raw_upstream&) = delete;
    raw_upstream& operator=(const raw_upstream&) = delete;
    ~raw_upstream();

    /** @return `127.0.0.1:port`. */
    [[nodiscard]] const std::string& address() const { return address_; }

    /** @return Expected response body of a path. */
    [[nodiscard]] static std::string body_of(const std::string& path)
    {
        return "answer to " + path;
    }

private:
    void accept_all();
    void serve(int socket);
    [[nodiscard]] bool answer(int socket, const std::string& head);

    run_log& log_;
    fault_source faults_;
    std::chrono::milliseconds late_by_;
    int listener_{-1};
    std::string address_;
    std::mutex mutex_;
    std::string last_id_{"none"};
    std::string last_body_{"nothing"};
    std::list<int> sockets_;
    std::list<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace rosemarytrail::test

#endif
