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
 * @brief Thread that drives one multi handle of libcurl by epoll.
 *
 * Requests beyond the connections allowed to a host wait here and not in
 * libcurl, so that their deadlines hold also while they wait.
 */
class curl_loop
{
public:
    /** @param options Options of the client. */
    explicit curl_loop(const client_options& options);
    curl_loop(const curl_loop&) = delete;
    curl_loop& operator=(const curl_loop&) = delete;
    ~curl_loop();

    /** @param it Request to send; any thread. */
    void submit(std::unique_ptr<curl_transfer> it);

    /** @param work Called soon on the loop's thread; any thread may post. */
    void post(event_loop::task work);

    /**
     * @brief Runs work later; only from the loop's thread.
     * @param at When it is due.
     * @param work Called once, unless the loop ends first.
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
    void take_submitted();
    void run_posted();
    void run_timers();
    void wake();
    void admit(transfer_pointer it);
    void start(transfer_pointer it, host_state& host);
    void collect_finished();
    void start_queued(const std::string& name);
    void expire_queued(time_point now);
    void end_all();
    [[nodiscard]] int wait_milliseconds(time_point now) const;
    [[nodiscard]] CURL* take_easy();
    void keep_easy(CURL* easy);

    client_options options_;
    socket_table sockets_;
    CURLM* multi_{};
    int epoll_{-1};
    int wake_{-1};
    std::optional<time_point> timer_;
    std::unordered_map<std::string, host_state> hosts_;
    std::unordered_map<CURL*, transfer_pointer> active_;
    std::vector<CURL*> spare_;
    std::size_t queued_{};
    time_point next_expiry_{};

    std::mutex lock_;
    std::vector<transfer_pointer> submitted_;
    std::vector<event_loop::task> posted_;
    bool stopping_{false};

    std::multimap<time_point, event_loop::task> timers_;

    std::thread thread_;
};

} // namespace rosemarytrail::http::internal

#endif
