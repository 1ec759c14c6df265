#ifndef ROSEMARYTRAIL_TEST_LIB_HTTP_SERVER_HPP
#define ROSEMARYTRAIL_TEST_LIB_HTTP_SERVER_HPP

#include <catch2/catch.hpp>

#include <rosemarytrail/http/server.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace rosemarytrail::test {

/** @brief Handler that passes requests to functions. */
struct function_handler final : http::handler
{
    std::function<std::optional<http::response>(const http::request&)> head;
    std::function<void(std::shared_ptr<http::exchange>)> whole;

    std::optional<http::response> on_head(const http::request& it) override
    {
        return head ? head(it) : std::nullopt;
    }

    void on_request(std::shared_ptr<http::exchange> it) override
    {
        whole(std::move(it));
    }
};

/** @brief HTTP server on a port of the system's choice. */
class http_server
{
public:
    explicit http_server(
        std::function<void(std::shared_ptr<http::exchange>)> whole,
        const http::server_options& options = {})
        : inner{options, handler}
    {
        handler.whole = std::move(whole);
        reason why;
        const auto port = inner.start(why);
        INFO(why.detail);
        REQUIRE(port);
        base = "http://127.0.0.1:" + std::to_string(*port);
    }

    std::string base;
    function_handler handler;
    http::server inner;
};

} // namespace rosemarytrail::test

#endif
