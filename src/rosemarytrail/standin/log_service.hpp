#ifndef ROSEMARYTRAIL_STANDIN_LOG_SERVICE_HPP
#define ROSEMARYTRAIL_STANDIN_LOG_SERVICE_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/standin/delay_queue.hpp>
#include <rosemarytrail/standin/log_store.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::standin {

/** @brief Serves a log over HTTP, with reads that wait for new entries. */
class log_service final : public http::handler
{
public:
    /** @param faults What goes wrong from the start. */
    explicit log_service(const log_faults& faults);

    std::optional<http::response> on_head(const http::request& head) override;
    void on_request(std::shared_ptr<http::exchange> it) override;

private:
    /** @brief Read that waits for an entry. */
    struct waiting_read
    {
        backends::read_options options{};
        std::shared_ptr<http::exchange> exchange;
    };

    void append(const std::string& stream,
                const std::shared_ptr<http::exchange>& it);
    void read(const std::string& stream,
              const std::shared_ptr<http::exchange>& it);
    void wake_reads(const std::string& stream);
    void end_wait(const std::shared_ptr<http::exchange>& it);
    void answer_read(const backends::read_options& options,
                     const std::shared_ptr<http::exchange>& it);
    void answer(const std::shared_ptr<http::exchange>& it,
                http::response answer);

    std::mutex lock_;
    log_store store_;
    std::vector<waiting_read> waiting_;
    delay_queue delays_;
};

} // namespace rosemarytrail::standin

#endif
