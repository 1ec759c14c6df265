#include <rosemarytrail/load/balancer.hpp>

#include <atomic>
#include <deque>
#include <string_view>
#include <utility>

namespace rosemarytrail::load {

namespace {

constexpr duration poll_period{std::chrono::milliseconds{100}};
constexpr duration poll_timeout{std::chrono::milliseconds{500}};
constexpr int status_ready = 200;

std::string base_of(std::string_view url)
{
    constexpr std::string_view scheme{"http://"};
    return std::string{url.substr(0, url.find('/', scheme.size()))};
}

} // namespace

struct balancer::shared_state
{
    std::deque<std::atomic<bool>> ready;
};

balancer::balancer(http::client& client, const target& it)
    : client_{client}
    , target_{it}
    , state_{std::make_shared<shared_state>()}
{
    for (std::size_t n = 0; n < it.urls.size(); ++n) {
        state_->ready.emplace_back(true);
    }
}

balancer::~balancer() = default;

void balancer::poll(time_point now)
{
    if (target_.ready_path.empty() || now - polled_ < poll_period) {
        return;
    }
    polled_ = now;
    for (std::size_t n = 0; n < target_.urls.size(); ++n) {
        http::client_request question{.url = base_of(target_.urls[n]) +
                                             target_.ready_path,
                                      .timeout = poll_timeout,
                                      .fresh_connection = true};
        client_.fetch(std::move(question),
                      [state = state_, n](const http::client_response& it) {
                          state->ready[n] =
                              it.transport ==
                                  http::transport_result::complete &&
                              it.answer.status == status_ready;
                      });
    }
}

const std::string& balancer::next()
{
    const auto count = target_.urls.size();
    for (std::size_t i = 0; i < count; ++i) {
        const auto n = turn_++ % count;
        if (state_->ready[n]) {
            return target_.urls[n];
        }
    }
    return target_.urls[turn_++ % count];
}

} // namespace rosemarytrail::load
