#ifndef ROSEMARYTRAIL_PROXY_INTERNAL_CALL_HPP
#define ROSEMARYTRAIL_PROXY_INTERNAL_CALL_HPP

#include <rosemarytrail/proxy/internal/proxy_core.hpp>
#include <rosemarytrail/proxy/service_request.hpp>
#include <rosemarytrail/request/response_check.hpp>

#include <memory>
#include <string>
#include <vector>

namespace rosemarytrail::proxy {

/**
 * @brief One request from its arrival to the response, with all its attempts.
 *
 * The steps run one after another, each on the thread that completed the
 * previous one. The object lives until it has responded.
 */
class call : public std::enable_shared_from_this<call>
{
public:
    /**
     * @brief Creates a call that is not started.
     * @param core State shared by all requests.
     * @param exchange HTTP exchange to respond to.
     */
    call(std::shared_ptr<proxy_core> core,
         std::shared_ptr<http::exchange> exchange);

    /** @brief Admits or refuses the request and starts processing it. */
    void start();

private:
    [[nodiscard]] bool check(reason& why);
    void open_intent();
    void on_intent(request::intent_outcome outcome);
    void dispatch();
    void on_slot(bool taken, const reason& why);
    void attempt();
    void on_result(const request::upstream_choice& choice,
                   const std::string& upstream_id,
                   http::client_response result);
    [[nodiscard]] bool claim_retry(request::response_status status);
    void conclude(request::response_status status, http::response answer);
    void close_intent(request::response_status status,
                      const http::response& answer);
    void close_unsent_intent();
    void refuse(const reason& why, bool not_run);
    void finish(http::response answer);

    [[nodiscard]] request::service_slot make_slot();
    [[nodiscard]] duration attempt_timeout(time_point now) const;

    std::shared_ptr<proxy_core> core_;
    std::shared_ptr<http::exchange> exchange_;
    std::shared_ptr<const request::routing_table> table_;
    std::string id_;
    service_request target_{};
    team_id team_{};
    std::string account_;
    request::intent_key intent_{};
    request::service_slot slot_{};
    std::vector<vm_id> tried_;
    time_point started_{};
    time_point deadline_{};
    duration upstream_time_{};
    std::uint32_t attempts_{};
    request::response_status last_status_{request::response_status::whole};
    http::response last_answer_{};
    vm_id last_upstream_{};
    bool entered_{false};
    bool in_service_{false};
    bool intent_open_{false};
    bool may_have_run_{false};
    /**
     * @brief The caller sent the request before, and that attempt may have run.
     */
    bool sent_before_{false};
};

} // namespace rosemarytrail::proxy

#endif
