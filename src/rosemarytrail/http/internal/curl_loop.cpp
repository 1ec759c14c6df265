#include <rosemarytrail/http/internal/curl_loop.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace rosemarytrail::http::internal {

namespace {

constexpr long max_cached_connections = 8192;
constexpr std::size_t max_idle_handles = 1024;
constexpr int max_events = 256;
constexpr int max_wait_ms = 1000;
/** @brief Interval at which the deadlines of queued requests are checked. */
constexpr int queue_check_interval_ms = 5;

[[nodiscard]] std::uint32_t epoll_events(int what) noexcept
{
    switch (what) {
    case CURL_POLL_IN:
        return EPOLLIN;
    case CURL_POLL_OUT:
        return EPOLLOUT;
    default:
        return EPOLLIN | EPOLLOUT;
    }
}

[[nodiscard]] int curl_events(std::uint32_t events) noexcept
{
    int result = 0;
    if ((events & EPOLLIN) != 0) {
        result |= CURL_CSELECT_IN;
    }
    if ((events & EPOLLOUT) != 0) {
        result |= CURL_CSELECT_OUT;
    }
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        result |= CURL_CSELECT_ERR;
    }
    return result;
}

} // namespace

curl_loop::curl_loop(const client_options& options)
    : options_{options}
    , multi_{curl_multi_init()}
    , epoll_{epoll_create1(EPOLL_CLOEXEC)}
    , wake_{eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)}
{
    epoll_event event{.events = EPOLLIN, .data = {.fd = wake_}};
    epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &curl_loop::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &curl_loop::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_cached_connections);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING,
                      static_cast<long>(CURLPIPE_NOTHING));
    thread_ = std::thread{[this] {
        run();
    }};
}

curl_loop::~curl_loop()
{
    {
        const std::lock_guard guard{lock_};
        stopping_ = true;
    }
    eventfd_write(wake_, 1);
    thread_.join();
    for (const auto& it : submitted_) {
        it->finish_unsent("the client was destroyed", boot_clock::now());
    }
    for (auto* it : idle_handles_) {
        curl_easy_cleanup(it);
    }
    curl_multi_cleanup(multi_);
    ::close(wake_);
    ::close(epoll_);
}

void curl_loop::wake()
{
    // On its own thread, the loop checks for new work before it waits.
    if (std::this_thread::get_id() != thread_.get_id()) {
        eventfd_write(wake_, 1);
    }
}

void curl_loop::submit(transfer_pointer it)
{
    bool first = false;
    {
        const std::lock_guard guard{lock_};
        first = submitted_.empty() && posted_.empty();
        submitted_.push_back(std::move(it));
    }
    if (first) {
        wake();
    }
}

void curl_loop::post(event_loop::task work)
{
    bool first = false;
    {
        const std::lock_guard guard{lock_};
        first = submitted_.empty() && posted_.empty();
        posted_.push_back(std::move(work));
    }
    if (first) {
        wake();
    }
}

void curl_loop::post_at(time_point at, event_loop::task work)
{
    timers_.emplace(at, std::move(work));
}

void curl_loop::run_posted()
{
    std::vector<event_loop::task> taken;
    {
        const std::lock_guard guard{lock_};
        taken.swap(posted_);
    }
    for (const auto& it : taken) {
        it();
    }
}

void curl_loop::run_timers()
{
    const auto now = boot_clock::now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const auto node = timers_.extract(timers_.begin());
        node.mapped()();
    }
}

int curl_loop::on_socket(CURL* /*easy*/, curl_socket_t socket, int what,
                         void* self, void* slot)
{
    auto& it = *static_cast<curl_loop*>(self);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(it.epoll_, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event{.events = epoll_events(what), .data = {.fd = socket}};
    const int change = slot == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    epoll_ctl(it.epoll_, change, socket, &event);
    curl_multi_assign(it.multi_, socket, self);
    return 0;
}

int curl_loop::on_timer(CURLM* /*multi*/, long timeout_ms, void* self)
{
    auto& it = *static_cast<curl_loop*>(self);
    if (timeout_ms < 0) {
        it.timer_.reset();
        return 0;
    }
    it.timer_ = boot_clock::now() + std::chrono::milliseconds{timeout_ms};
    return 0;
}

int curl_loop::wait_milliseconds(time_point now) const
{
    int result = queued_ > 0 ? queue_check_interval_ms : max_wait_ms;
    if (timer_) {
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(*timer_ - now);
        const auto bounded = std::clamp<std::int64_t>(
            left.count(), 0, static_cast<std::int64_t>(result));
        result = static_cast<int>(bounded);
    }
    if (!timers_.empty()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            timers_.begin()->first - now);
        result = static_cast<int>(std::clamp<std::int64_t>(
            left.count(), 0, static_cast<std::int64_t>(result)));
    }
    return result;
}

void curl_loop::wait()
{
    std::array<epoll_event, max_events> events{};
    bool work_left = false;
    {
        const std::lock_guard guard{lock_};
        work_left = !submitted_.empty() || !posted_.empty();
    }
    const int n =
        epoll_wait(epoll_, events.data(), max_events,
                   work_left ? 0 : wait_milliseconds(boot_clock::now()));
    int running = 0;
    for (int i = 0; i < n; ++i) {
        const auto& event = events[static_cast<std::size_t>(i)];
        if (event.data.fd == wake_) {
            eventfd_t ignored = 0;
            eventfd_read(wake_, &ignored);
            continue;
        }
        curl_multi_socket_action(multi_, event.data.fd,
                                 curl_events(event.events), &running);
    }
}

void curl_loop::run()
{
    for (;;) {
        wait();
        run_posted();
        run_timers();
        admit_submitted();
        const auto now = boot_clock::now();
        if (timer_ && *timer_ <= now) {
            timer_.reset();
            int running = 0;
            curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
        }
        collect_finished();
        if (queued_ > 0 && next_queue_check_ <= now) {
            next_queue_check_ =
                now + std::chrono::milliseconds{queue_check_interval_ms};
            expire_queued(now);
        }
        const std::lock_guard guard{lock_};
        if (stopping_) {
            break;
        }
    }
    abort_all();
}

void curl_loop::admit_submitted()
{
    std::vector<transfer_pointer> taken;
    {
        const std::lock_guard guard{lock_};
        taken.swap(submitted_);
    }
    for (auto& it : taken) {
        admit(std::move(it));
    }
}

void curl_loop::admit(transfer_pointer it)
{
    const auto now = boot_clock::now();
    if (const auto validation_error = it->validation_error();
        !validation_error.empty()) {
        it->finish_unsent(std::string{validation_error}, now);
        return;
    }
    if (it->deadline() <= now) {
        it->finish_unsent("the deadline passed before the request was sent",
                          now);
        return;
    }
    auto& host = hosts_[std::string{it->host()}];
    if (host.active < options_.connections_per_host) {
        start(std::move(it), host);
        return;
    }
    host.queued.push_back(std::move(it));
    ++queued_;
}

void curl_loop::start(transfer_pointer it, host_state& host)
{
    ++host.active;
    auto* easy = acquire_handle();
    it->prepare(easy, options_, sockets_, boot_clock::now());
    active_.emplace(easy, std::move(it));
    curl_multi_add_handle(multi_, easy);
}

void curl_loop::collect_finished()
{
    int left = 0;
    while (const auto* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        auto* easy = message->easy_handle;
        const auto code = message->data.result;
        auto node = active_.extract(easy);
        auto it = std::move(node.mapped());
        curl_multi_remove_handle(multi_, easy);
        const std::string name{it->host()};
        auto& host = hosts_[name];
        --host.active;
        if (it->met_stale_connection()) {
            it->prepare_retry();
            host.queued.push_front(std::move(it));
            ++queued_;
        } else {
            it->finish(code, boot_clock::now());
        }
        release_handle(easy);
        start_queued(name);
    }
}

void curl_loop::start_queued(const std::string& name)
{
    const auto found = hosts_.find(name);
    auto& host = found->second;
    while (!host.queued.empty() &&
           host.active < options_.connections_per_host) {
        auto it = std::move(host.queued.front());
        host.queued.pop_front();
        --queued_;
        const auto now = boot_clock::now();
        if (it->deadline() <= now) {
            it->finish_unsent(
                "the deadline passed while the request was queued", now);
            continue;
        }
        start(std::move(it), host);
    }
    if (host.active == 0) {
        hosts_.erase(found);
    }
}

void curl_loop::expire_queued(time_point now)
{
    for (auto& [name, host] : hosts_) {
        std::vector<transfer_pointer> expired;
        for (auto& it : host.queued) {
            if (it->deadline() <= now) {
                expired.push_back(std::move(it));
            }
        }
        std::erase(host.queued, nullptr);
        queued_ -= expired.size();
        for (auto& it : expired) {
            it->finish_unsent(
                "the deadline passed while the request was queued", now);
        }
    }
}

void curl_loop::abort_all()
{
    admit_submitted();
    const auto now = boot_clock::now();
    for (auto& [easy, it] : active_) {
        curl_multi_remove_handle(multi_, easy);
        it->finish(CURLE_ABORTED_BY_CALLBACK, now);
        curl_easy_cleanup(easy);
    }
    active_.clear();
    for (auto& [name, host] : hosts_) {
        for (auto& it : host.queued) {
            it->finish_unsent("the client was destroyed", now);
        }
    }
    hosts_.clear();
}

CURL* curl_loop::acquire_handle()
{
    if (idle_handles_.empty()) {
        return curl_easy_init();
    }
    auto* easy = idle_handles_.back();
    idle_handles_.pop_back();
    return easy;
}

void curl_loop::release_handle(CURL* easy)
{
    if (idle_handles_.size() >= max_idle_handles) {
        curl_easy_cleanup(easy);
        return;
    }
    curl_easy_reset(easy);
    idle_handles_.push_back(easy);
}

} // namespace rosemarytrail::http::internal
