#include <rosemarytrail/standin/program.hpp>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>

namespace rosemarytrail::standin {

namespace {

[[nodiscard]] sigset_t end_signals()
{
    sigset_t result;
    sigemptyset(&result);
    sigaddset(&result, SIGTERM);
    sigaddset(&result, SIGINT);
    return result;
}

[[nodiscard]] timespec to_timespec(duration span)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(span);
    const std::chrono::nanoseconds rest = span - seconds;
    return {.tv_sec = static_cast<std::time_t>(seconds.count()),
            .tv_nsec = static_cast<long>(rest.count())};
}

} // namespace

void block_signals()
{
    const auto signals = end_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void complain(const std::string& text)
{
    std::cerr << text << "\n";
}

std::optional<std::uint16_t> listen(http::server& server)
{
    reason why;
    const auto port = server.start(why);
    if (!port) {
        complain(why.detail);
    }
    return port;
}

void run_until_signal(duration period, const std::function<void()>& function)
{
    const auto signals = end_signals();
    const auto wait = to_timespec(period);
    while (sigtimedwait(&signals, nullptr, &wait) < 0) {
        function();
    }
}

void run_until_signal()
{
    const auto signals = end_signals();
    int ignored = 0;
    sigwait(&signals, &ignored);
}

int serve_until_signal(const http::server_options& options,
                       http::handler& target)
{
    http::server server{options, target};
    const auto port = listen(server);
    if (!port) {
        return EXIT_FAILURE;
    }
    std::cout << "listening " << *port << std::endl;
    run_until_signal();
    server.stop();
    return EXIT_SUCCESS;
}

} // namespace rosemarytrail::standin
