#include <rosemarytrail/cell/store_watch.hpp>

#include <rosemarytrail/logging/event_log.hpp>

#include <string>
#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @brief An append takes some ms; one that takes longer is told. */
constexpr duration slow_append{std::chrono::milliseconds{200}};

} // namespace

void store_watch::note_slow(const append_answer& it, duration took)
{
    if (took > slow_append) {
        logging::event(
            logging::level::info, "append_slow",
            {{"took_ms", std::to_string(to_milliseconds(took))},
             {"result", std::to_string(static_cast<int>(it.result))}});
    }
}

store_watch::store_watch(store& target)
    : target_{target}
    , marks_{std::make_shared<marks>()}
{}

void store_watch::append(append_request request,
                         std::function<void(append_answer)> done)
{
    target_.append(std::move(request), watch(std::move(done)));
}

void store_watch::read(feed which, std::int64_t from, duration wait,
                       std::function<void(feed_page)> done)
{
    target_.read(which, from, wait, watch(std::move(done)));
}

void store_watch::newest(feed which, std::string_view after,
                         std::function<void(newest_page)> done)
{
    target_.newest(which, after, watch(std::move(done)));
}

void store_watch::join(node_group group, std::string_view member,
                       std::uint64_t generation, duration lifetime,
                       std::function<void(membership)> done)
{
    target_.join(group, member, generation, lifetime, watch(std::move(done)));
}

void store_watch::members(
    std::function<void(std::optional<std::vector<std::string>>)> done)
{
    target_.members(std::move(done));
}

void store_watch::leave(node_group group, std::string_view member,
                        std::function<void(store_result)> done)
{
    target_.leave(group, member, std::move(done));
}

} // namespace rosemarytrail::cell
