#include <rosemarytrail/logging/log.hpp>

#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <string>

namespace rosemarytrail::logging {

namespace {

constexpr const char* line_pattern =
    "%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{UTC} %p %c %m%n";

log4cxx::LogString decode(std::string_view text)
{
    LOG4CXX_DECODE_CHAR(decoded, std::string{text});
    return decoded;
}

log4cxx::LevelPtr to_level(level weight)
{
    const std::array levels{log4cxx::Level::getInfo(),
                            log4cxx::Level::getWarn(),
                            log4cxx::Level::getError()};
    return levels.at(static_cast<std::size_t>(weight));
}

/** @brief Logger of the process; null until `start`. */
std::atomic<log4cxx::Logger*>& current() noexcept
{
    static std::atomic<log4cxx::Logger*> logger{nullptr};
    return logger;
}

/** @return Text without line breaks and other control characters. */
std::string to_one_line(std::string_view text)
{
    std::string line{text};
    std::replace_if(
        line.begin(), line.end(),
        [](char c) { return static_cast<unsigned char>(c) < ' '; }, ' ');
    return line;
}

} // namespace

void start(level least, std::string_view program)
{
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    const auto layout =
        std::make_shared<log4cxx::PatternLayout>(decode(line_pattern));
    root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr()));
    root->setLevel(to_level(least));
    // The hierarchy owns the logger until the process ends.
    current() = log4cxx::Logger::getLogger(decode(program)).get();
}

void change(level weight, result_code code, std::string_view text)
{
    auto* logger = current().load();
    if (logger == nullptr) {
        return;
    }
    const auto at = to_level(weight);
    if (!logger->isEnabledFor(at)) {
        return;
    }
    const auto line = std::to_string(static_cast<int>(code)) + " " +
                      std::string{describe(code).name} + " " +
                      to_one_line(text);
    logger->forcedLog(at, decode(line), LOG4CXX_LOCATION);
}

} // namespace rosemarytrail::logging
