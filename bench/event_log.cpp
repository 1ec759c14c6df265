// Cost of logging at the burst of a site: processor time and bytes of each
// line, beside the same calls with no writer.

#include <rosemarytrail/logging/event_log.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <ctime>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

namespace logging = rosemarytrail::logging;

double processor_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

/** @brief Lines of one job of two steps, as a leader writes them. */
void log_job(int n)
{
    const auto job = std::to_string(1000000000000000LL + n);
    logging::event(logging::level::info, "submit",
                   {{"job", job},
                    {"queue", "r-9b2yxhz"},
                    {"account", "wuka60"},
                    {"config", "69"},
                    {"steps", "2"}});
    logging::event(logging::level::info, "call_answered",
                   {{"job", job}, {"call", "submit"}, {"took_ms", "12"}});
    for (int step = 0; step < 2; ++step) {
        logging::event(logging::level::info, "advice",
                       {{"job", job},
                        {"step", job + ".0.0"},
                        {"answered", "true"},
                        {"granted", "15"},
                        {"took_ms", "605"}});
        logging::event(
            logging::level::info, "decision",
            {{"job", job},
             {"what", "placed"},
             {"detail", job + ".0.0 tasks 7 of 7, still waiting 0"}});
    }
    logging::event(
        logging::level::info, "decision",
        {{"job", job},
         {"what", "ended"},
         {"detail", "state 2 queue r-9b2yxhz age 1473 objective 1300 declared "
                    "chain 400; step advice 58 room 4 run 872"}});
}

} // namespace

int main(int argc, char** argv)
{
    const int jobs = argc > 1 ? std::atoi(argv[1]) : 20000;
    constexpr int lines_of_job = 7;
    auto begun = processor_seconds();
    for (int i = 0; i < jobs; ++i) {
        log_job(i);
    }
    const auto off = processor_seconds() - begun;
    std::FILE* file = std::tmpfile();
    if (file == nullptr) {
        return 1;
    }
    logging::start_events({.descriptor = ::fileno(file),
                           .buffer_bytes = std::size_t{1} << 30U,
                           .budget = {.lines_per_s = 1e9,
                                      .burst_lines = 1e9,
                                      .bytes_per_s = 1e12,
                                      .burst_bytes = 1e12}},
                          "rosemarytrail-node", "frontend-viljandi-2");
    begun = processor_seconds();
    for (int i = 0; i < jobs; ++i) {
        log_job(i);
    }
    logging::stop_events();
    const auto on = processor_seconds() - begun;
    struct stat written
    {};
    ::fstat(::fileno(file), &written);
    const double lines = static_cast<double>(jobs) * lines_of_job;
    std::printf("lines %.0f\noff us/line %.2f\non us/line %.2f\nbytes/line "
                "%.0f\n",
                lines, off / lines * 1e6, on / lines * 1e6,
                static_cast<double>(written.st_size) / lines);
    return 0;
}
