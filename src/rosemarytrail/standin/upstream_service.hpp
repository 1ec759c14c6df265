#ifndef ROSEMARYTRAIL_STANDIN_UPSTREAM_SERVICE_HPP
#define ROSEMARYTRAIL_STANDIN_UPSTREAM_SERVICE_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/standin/delay_queue.hpp>
#include <rosemarytrail/standin/upstream_model.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::standin {

/** @brief Counter of runs that several upstreams share. */
struct shared_run_counter
{
    std::mutex lock;
    run_counter counter;
};

/** @brief Serves one upstream over HTTP. */
class upstream_service
{
public:
    /**
     * @brief Makes an idle upstream.
     * @param vm VM that it answers for.
     * @param options How it is built.
     * @param runs Counts the runs.
     * @param delays Holds answers back; is stopped before this ends.
     */
    upstream_service(vm_id vm, const upstream_options& options,
                     shared_run_counter& runs, delay_queue& delays);

    /**
     * @brief Serves a request.
     * @param it Exchange to answer.
     * @param path Path below the prefix of this upstream.
     */
    void serve(const std::shared_ptr<http::exchange>& it,
               std::string_view path);

    /** @param faults What goes wrong from now on. */
    void set_faults(const upstream_faults& faults);

    /** @return Requests in slots. */
    [[nodiscard]] std::uint32_t busy();

private:
    [[nodiscard]] std::optional<http::response>
    answer_page(const http::request& incoming, std::string_view path);
    void finish(const std::shared_ptr<http::exchange>& it,
                const upstream_reply& reply, const service_id& service,
                const std::string& path);

    vm_id vm_;
    shared_run_counter& runs_;
    delay_queue& delays_;
    upstream_model model_;
};

/**
 * @brief Makes the answer of an upstream that did not run a request.
 * @param incoming Request that was not run.
 * @return Answer that says so.
 */
[[nodiscard]] http::response not_run_answer(const http::request& incoming);

/**
 * @brief Reads the service off a path.
 * @param path Path such as `/plugs/a/b`.
 * @return Service that it names.
 */
[[nodiscard]] service_id service_of(std::string_view path);

} // namespace rosemarytrail::standin

#endif
