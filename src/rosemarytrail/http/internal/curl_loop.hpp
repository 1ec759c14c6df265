#ifndef ROSEMARYTRAIL_HTTP_INTERNAL_CURL_LOOP_HPP
#define ROSEMARYTRAIL_HTTP_INTERNAL_CURL_LOOP_HPP

#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/internal/curl_transfer.hpp>
#include <rosemarytrail/http/internal/socket_table.hpp>

#include <curl/curl.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace rosemarytrail::http::internal {

/**
 * @brief Thread that drives one libcurl multi handle with epoll.
 *
 * Requests beyond the connection limit of a host are queued here instead of in
 * libcurl, so that their deadlines are enforced while they wait.
 */
class curl_loop
{
public:
    /** @param options Options of the client. */
    explicit curl_loop(const client_options& options);
    curl_loop(const curl_loop&) = delete;
    curl_loop& operator=(const curl_loop&) = delete;
    ~curl_loop();

    /** @param it Request to send; callable from any thread. */
    void submit(std::unique_ptr<curl_transfer> it);

    /** @param work Task to run on the loop's thread; callable from any thread.
     */
    void post(event_loop::task work);

    /**
     * @brief Schedules a task; callable only from the loop's thread.
     * @param at Time at which the task is due.
     * @param work Task to run once, unless the loop is destroyed first.
     */
    void post_at(time_point at, event_loop::task work);

private:
    using transfer_pointer = std::unique_ptr<curl_transfer>;

    /** @brief Requests to one host and port. */
    struct host_state
    {
        long active{};
        std::deque<transfer_pointer> queued;
    };

    static int on_socket(CURL* easy, curl_socket_t socket, int what, void* self,
                         void* slot);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);

    void run();
    void wait();
    void admit_submitted();
    void run_posted();
    void run_timers();
    void wake();
    void admit(transfer_pointer it);
    void start(transfer_pointer it, host_state& host);
    void collect_finished();
    void start_queued(const std::string& name);
    void expire_queued(time_point now);
    void abort_all();
    [[nodiscard]] int wait_milliseconds(time_point now) const;
    [[nodiscard]] CURL* acquire_handle();
    void release_handle(CURL* easy);

    client_options options_;
    socket_table sockets_;
    CURLM* multi_{};
    int epoll_{-1};
    int wake_{-1};
    std::optional<time_point> timer_;
    std::unordered_map<std::string, host_state> hosts_;
    std::unordered_map<CURL*, transfer_pointer> active_;
    std::vector<CURL*> idle_handles_;
    std::size_t queued_{};
    time_point next_queue_check_{};

    std::mutex lock_;
    std::vector<transfer_pointer> submitted_;
    std::vector<event_loop::task> posted_;
    bool stopping_{false};

    std::multimap<time_point, event_loop::task> timers_;

    std::thread thread_;
};

} // namespace rosemarytrail::http::internal

#endif
