#ifndef ROSEMARYTRAIL_LOAD_BALANCER_HPP
#define ROSEMARYTRAIL_LOAD_BALANCER_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/load/experiment.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace rosemarytrail::load {

/**
 * @brief Spreads the requests of one target over those of its addresses that
 * say they are ready, as the platform's balancer does.
 */
class balancer
{
public:
    /**
     * @brief Takes all addresses for ready.
     * @param client Asks the addresses; outlives the balancer.
     * @param it Target; outlives the balancer.
     */
    balancer(http::client& client, const target& it);
    ~balancer();

    /**
     * @brief Asks the addresses if that is due; waits for no answer.
     * @param now Present time.
     */
    void poll(time_point now);

    /**
     * @brief Chooses an address in turn.
     * @return An address that is ready; any, if none is.
     */
    [[nodiscard]] const std::string& next();

private:
    struct shared_state;

    http::client& client_;
    const target& target_;
    std::shared_ptr<shared_state> state_;
    time_point polled_{};
    std::uint64_t turn_{};
};

} // namespace rosemarytrail::load

#endif
