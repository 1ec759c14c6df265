#ifndef ROSEMARYTRAIL_STANDIN_VM_LIST_SERVICE_HPP
#define ROSEMARYTRAIL_STANDIN_VM_LIST_SERVICE_HPP

#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/standin/vm_list_model.hpp>

#include <memory>
#include <mutex>
#include <optional>

namespace rosemarytrail::standin {

/** @brief Serves a VM list over HTTP. */
class vm_list_service final : public http::handler
{
public:
    /** @param faults What goes wrong from the start. */
    explicit vm_list_service(const vm_list_faults& faults);

    std::optional<http::response> on_head(const http::request& head) override;
    void on_request(std::shared_ptr<http::exchange> it) override;

private:
    [[nodiscard]] http::response answer(const http::request& incoming);
    [[nodiscard]] http::response list(const http::request& incoming);
    [[nodiscard]] http::response change(const http::request& incoming);

    std::mutex lock_;
    vm_list_model model_;
};

} // namespace rosemarytrail::standin

#endif
