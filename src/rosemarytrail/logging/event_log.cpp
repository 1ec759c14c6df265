#include <rosemarytrail/logging/event_log.hpp>

#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <climits>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace rosemarytrail::logging {

namespace {

/** @brief Lines are gathered this long before they are written. */
constexpr std::chrono::milliseconds gather_time{20};
/** @brief How often lines that were not written are told of. */
constexpr duration report_period{std::chrono::seconds{1}};
/** @brief How often a writer whose reader takes nothing looks for its end. */
constexpr int look_ms = 50;

/**
 * @brief Takes as many whole lines as a pipe takes at once, so that none is cut
 * short and none mixes with those of other processes.
 * @param bytes Lines that wait; not empty.
 * @return Bytes to write next.
 */
std::size_t piece_of(std::string_view bytes)
{
    if (bytes.size() <= PIPE_BUF) {
        return bytes.size();
    }
    const auto end = bytes.rfind('\n', PIPE_BUF - 1);
    return end == std::string_view::npos ? PIPE_BUF : end + 1;
}

/** @return What the budget counts an event under. */
std::string kind_of(std::string_view name,
                    std::initializer_list<event_field> fields)
{
    std::string result{name};
    for (const auto& [key, value] : fields) {
        if (key == "what") {
            result += ": ";
            result += value;
        }
    }
    return result;
}

class event_writer
{
public:
    event_writer(const event_log_options& options, std::string_view program,
                 std::string_view node)
        : options_{options}
        , program_{program}
        , node_{node}
        , budget_{options.budget}
        , thread_{[this] {
            run();
        }}
    {}

    ~event_writer()
    {
        {
            const std::lock_guard guard{lock_};
            stop_at_ = boot_clock::now() + options_.last_words;
            stopping_ = true;
        }
        wake_.notify_one();
        thread_.join();
    }

    event_writer(const event_writer&) = delete;
    event_writer& operator=(const event_writer&) = delete;

    void add(level weight, std::string_view name,
             std::initializer_list<event_field> fields)
    {
        const auto line = format(weight, name, fields);
        const auto kind = kind_of(name, fields);
        bool first = false;
        {
            const std::lock_guard guard{lock_};
            if (!budget_.admit(kind, line.size(), boot_clock::now())) {
                ++left_out_;
                return;
            }
            if (waiting_.size() + line.size() > options_.buffer_bytes) {
                ++dropped_;
                ++unreported_;
                return;
            }
            first = waiting_.empty();
            waiting_ += line;
        }
        if (first) {
            wake_.notify_one();
        }
    }

    [[nodiscard]] event_log_losses losses() const noexcept
    {
        return {.left_out = left_out_, .dropped = dropped_};
    }

private:
    [[nodiscard]] std::string
    format(level weight, std::string_view name,
           std::initializer_list<event_field> fields) const
    {
        constexpr const char* names[] = {"info", "warning", "error"};
        timeval now{};
        gettimeofday(&now, nullptr);
        nlohmann::ordered_json line{
            {"ts_ms", now.tv_sec * 1000 + now.tv_usec / 1000},
            {"level", names[static_cast<std::size_t>(weight)]},
            {"program", program_},
            {"node", node_},
            {"event", name}};
        for (const auto& [key, value] : fields) {
            line[std::string{key}] = value;
        }
        return line.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace) +
               "\n";
    }

    void run()
    {
        bool last = false;
        while (!last) {
            std::string taken;
            {
                std::unique_lock guard{lock_};
                const auto due = [this] {
                    return stopping_ || !waiting_.empty();
                };
                if (budget_.has_left_out()) {
                    wake_.wait_for(guard, report_period, due);
                } else {
                    wake_.wait(guard, due);
                }
                if (!stopping_) {
                    guard.unlock();
                    std::this_thread::sleep_for(gather_time);
                    guard.lock();
                }
                taken.swap(waiting_);
                last = stopping_;
                taken += report(last);
            }
            write_all(taken);
        }
    }

    /** @return Lines that tell how many others were not written. */
    std::string report(bool last)
    {
        const auto now = boot_clock::now();
        if (!last && now - last_report_ < report_period) {
            return {};
        }
        last_report_ = now;
        std::string result;
        for (const auto& it : budget_.take_left_out()) {
            result += format(
                level::warning, "log_lines_left_out",
                {{"kind", it.kind}, {"lines", std::to_string(it.lines)}});
        }
        if (const auto n = std::exchange(unreported_, 0); n > 0) {
            result += format(level::warning, "log_lines_dropped",
                             {{"lines", std::to_string(n)}});
        }
        return result;
    }

    // The descriptor is shared with other processes and stays blocking: it is
    // written to only when it takes that much at once.
    void write_all(std::string_view bytes)
    {
        while (!bytes.empty()) {
            pollfd ready{
                .fd = options_.descriptor, .events = POLLOUT, .revents = 0};
            if (::poll(&ready, 1, look_ms) <= 0) {
                if (stopping_ && boot_clock::now() >= stop_at_) {
                    break;
                }
                continue;
            }
            const auto n =
                ::write(options_.descriptor, bytes.data(), piece_of(bytes));
            if (n < 0 && (errno == EINTR || errno == EAGAIN)) {
                continue;
            }
            if (n <= 0) {
                break;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        dropped_ += static_cast<std::uint64_t>(std::ranges::count(bytes, '\n'));
    }

    event_log_options options_;
    std::string program_;
    std::string node_;
    std::atomic<std::uint64_t> left_out_{0};
    std::atomic<std::uint64_t> dropped_{0};
    std::mutex lock_;
    std::condition_variable wake_;
    line_budget budget_;
    std::string waiting_;
    std::uint64_t unreported_{};
    time_point last_report_;
    /** @brief Set before `stopping_`. */
    time_point stop_at_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

std::unique_ptr<event_writer>& writer()
{
    static std::unique_ptr<event_writer> it;
    return it;
}

} // namespace

void start_events(const event_log_options& options, std::string_view program,
                  std::string_view node)
{
    writer() = std::make_unique<event_writer>(options, program, node);
}

void event(level weight, std::string_view name,
           std::initializer_list<event_field> fields)
{
    if (auto& it = writer()) {
        it->add(weight, name, fields);
    }
}

event_log_losses lost_events() noexcept
{
    const auto& it = writer();
    return it ? it->losses() : event_log_losses{};
}

void stop_events()
{
    writer().reset();
}

} // namespace rosemarytrail::logging
