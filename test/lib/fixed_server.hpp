#ifndef ROSEMARYTRAIL_TEST_LIB_FIXED_SERVER_HPP
#define ROSEMARYTRAIL_TEST_LIB_FIXED_SERVER_HPP

#include <test/lib/http_server.hpp>

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>

namespace rosemarytrail::test {

/** @brief HTTP server that gives one answer to every request. */
class fixed_server
{
public:
    /** @brief Answer that publish() puts in force. */
    http::response answer;
    /** @brief Whether the connection is closed in place of an answer. */
    bool lose{false};
    /** @brief Bytes of the body to send before the connection is closed. */
    std::size_t lose_after{0};

    /** @brief Puts the fields above in force for the requests that follow. */
    void publish()
    {
        const std::lock_guard guard{lock_};
        published_answer_ = answer;
        published_lose_ = lose;
        published_lose_after_ = lose_after;
    }

    /** @return Address such as `http://127.0.0.1:1234`. */
    [[nodiscard]] const std::string& base() const noexcept
    {
        return server_.base;
    }

    void stop() { server_.inner.stop(); }

private:
    void serve(const std::shared_ptr<http::exchange>& it)
    {
        const std::lock_guard guard{lock_};
        if (published_lose_) {
            it->cut_off(published_answer_, published_lose_after_);
            return;
        }
        it->respond(published_answer_);
    }

    std::mutex lock_;
    http::response published_answer_;
    bool published_lose_{false};
    std::size_t published_lose_after_{};
    http_server server_{[this](const std::shared_ptr<http::exchange>& it) {
        serve(it);
    }};
};

} // namespace rosemarytrail::test

#endif
