#include <rosemarytrail/cell/store_monitor.hpp>

#include <rosemarytrail/logging/event_log.hpp>

#include <string>
#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @brief Appends usually take a few milliseconds; slower ones are logged. */
constexpr duration slow_append{std::chrono::milliseconds{200}};

} // namespace

void store_monitor::log_slow(const append_answer& it, duration took)
{
    if (took > slow_append) {
        logging::event(
            logging::level::info, "append_slow",
            {{"took_ms", std::to_string(to_milliseconds(took))},
             {"result", std::to_string(static_cast<int>(it.result))}});
    }
}

store_monitor::store_monitor(store& target)
    : target_{target}
    , times_{std::make_shared<call_times>()}
{}

void store_monitor::append(append_request request,
                           std::function<void(append_answer)> done)
{
    target_.append(std::move(request), observe(std::move(done)));
}

void store_monitor::read(const read_request& request,
                         std::function<void(feed_page)> done)
{
    target_.read(request, observe(std::move(done)));
}

void store_monitor::newest(feed which, std::string_view after,
                           std::function<void(newest_page)> done)
{
    target_.newest(which, after, observe(std::move(done)));
}

void store_monitor::join(node_group group, std::string_view member,
                         std::uint64_t generation, duration lifetime,
                         std::function<void(membership)> done)
{
    target_.join(group, member, generation, lifetime, observe(std::move(done)));
}

void store_monitor::members(
    std::function<void(std::optional<std::vector<std::string>>)> done)
{
    target_.members(std::move(done));
}

void store_monitor::leave(node_group group, std::string_view member,
                          std::function<void(store_result)> done)
{
    target_.leave(group, member, std::move(done));
}

} // namespace rosemarytrail::cell
