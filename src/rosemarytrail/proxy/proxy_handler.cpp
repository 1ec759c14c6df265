#include <rosemarytrail/proxy/proxy_handler.hpp>

#include <rosemarytrail/proxy/internal/call.hpp>
#include <rosemarytrail/proxy/internal/proxy_core.hpp>
#include <rosemarytrail/request/authenticator.hpp>

#include <utility>

namespace rosemarytrail::proxy {

namespace {

constexpr duration short_retry_delay{std::chrono::milliseconds{100}};

/** @brief Checks the head of a request before its body is read. */
class head_check
{
public:
    head_check(proxy_core& core, const http::request& head)
        : core_{core}
        , head_{head}
        , table_{core.table()}
        , now_{core.clock.now()}
    {}

    /** @return True if the body may be read. */
    [[nodiscard]] bool passes(reason& why)
    {
        if (!table_ || core_.draining) {
            why.code =
                table_ ? result_code::draining : result_code::catching_up;
            why.retry_after = short_retry_delay;
            return false;
        }
        const auto authorization =
            http::find_header(head_.headers, "Authorization");
        const auto* const key =
            request::authenticate(*table_, authorization, now_, why);
        if (key == nullptr) {
            return false;
        }
        const auto target =
            parse_service_request(head_, core_.options.request_timeout, why);
        if (!target) {
            return false;
        }
        if (!table_->services.contains(target->service)) {
            why = {.code = result_code::service_unknown};
            return false;
        }
        return core_.admission.take_rate_token(key->account, now_, why) &&
               has_slot(*key, *target, why);
    }

private:
    [[nodiscard]] bool has_slot(const key_spec& key,
                                const service_request& target, reason& why)
    {
        const auto capacity =
            core_.selector.capacity(table_, target.service, now_);
        return core_.admission.has_slot(
            {.service = target.service, .team = key.team, .capacity = capacity},
            table_->weights, why);
    }

    proxy_core& core_;
    const http::request& head_;
    std::shared_ptr<const request::routing_table> table_;
    time_point now_;
};

} // namespace

struct proxy_handler::internal_state
{
    std::shared_ptr<proxy_core> core;
};

proxy_handler::proxy_handler(const proxy_options& options,
                             const time_source& clock, http::client& upstreams,
                             request::intent_store& intents,
                             metrics::registry& metrics)
    : state_{std::make_shared<internal_state>()}
{
    state_->core = std::make_shared<proxy_core>(options, clock, upstreams,
                                                intents, metrics);
}

proxy_handler::~proxy_handler() = default;

void proxy_handler::set_table(
    std::shared_ptr<const request::routing_table> table)
{
    state_->core->set_table(std::move(table));
}

std::optional<http::response> proxy_handler::on_head(const http::request& head)
{
    auto& core = *state_->core;
    head_check check{core, head};
    reason why;
    if (check.passes(why)) {
        return std::nullopt;
    }
    return core.refuse(why, !was_sent_before(head), core.request_id(head));
}

void proxy_handler::on_request(std::shared_ptr<http::exchange> it)
{
    auto& core = *state_->core;
    notify(core.admission.expire(core.clock.now()));
    core.in_flight.fetch_add(1);
    core.in_flight_gauge.add(1);
    std::make_shared<call>(state_->core, std::move(it))->start();
}

void proxy_handler::tick(time_point now)
{
    notify(state_->core->admission.expire(now));
}

std::size_t proxy_handler::in_flight() const noexcept
{
    return state_->core->in_flight;
}

void proxy_handler::begin_drain() noexcept
{
    state_->core->draining = true;
}

} // namespace rosemarytrail::proxy
