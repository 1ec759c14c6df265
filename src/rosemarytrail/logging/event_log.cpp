#include <rosemarytrail/logging/event_log.hpp>

#include <nlohmann/json.hpp>

#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace rosemarytrail::logging {

namespace {

/** @brief Lines are gathered this long before they are written. */
constexpr std::chrono::milliseconds gather_time{20};

class event_writer
{
public:
    event_writer(const event_log_options& options, std::string_view program,
                 std::string_view node)
        : options_{options}
        , program_{program}
        , node_{node}
        , thread_{[this] {
            run();
        }}
    {}

    ~event_writer()
    {
        {
            const std::lock_guard guard{lock_};
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
        bool first = false;
        {
            const std::lock_guard guard{lock_};
            if (waiting_.size() + line.size() > options_.buffer_bytes) {
                dropped_.fetch_add(1, std::memory_order_relaxed);
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

    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return dropped_.load(std::memory_order_relaxed);
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
        for (;;) {
            std::string taken;
            std::uint64_t lost = 0;
            bool last = false;
            {
                std::unique_lock guard{lock_};
                wake_.wait(guard,
                           [this] { return stopping_ || !waiting_.empty(); });
                if (!stopping_) {
                    guard.unlock();
                    std::this_thread::sleep_for(gather_time);
                    guard.lock();
                }
                taken.swap(waiting_);
                lost = std::exchange(unreported_, 0);
                last = stopping_;
            }
            if (lost > 0) {
                taken += format(level::warning, "log_lines_dropped",
                                {{"lines", std::to_string(lost)}});
            }
            write_all(taken);
            if (last) {
                return;
            }
        }
    }

    void write_all(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto n =
                ::write(options_.descriptor, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) {
                continue;
            }
            if (n <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }

    event_log_options options_;
    std::string program_;
    std::string node_;
    std::atomic<std::uint64_t> dropped_{0};
    std::mutex lock_;
    std::condition_variable wake_;
    std::string waiting_;
    std::uint64_t unreported_{};
    bool stopping_{false};
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

std::uint64_t dropped_events() noexcept
{
    const auto& it = writer();
    return it ? it->dropped() : 0;
}

void stop_events()
{
    writer().reset();
}

} // namespace rosemarytrail::logging
