#ifndef ROSEMARYTRAIL_TEST_CLI_SCRIPTED_CLIENT_HPP
#define ROSEMARYTRAIL_TEST_CLI_SCRIPTED_CLIENT_HPP

#include <rosemarytrail/cli/run.hpp>
#include <rosemarytrail/http/client.hpp>

#include <deque>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace rosemarytrail::test {

/** @brief Answers requests from a script and remembers them. */
class scripted_client final : public http::client
{
public:
    void fetch(http::client_request outgoing, callback done) override
    {
        sent.push_back(std::move(outgoing));
        http::client_response next;
        if (!script.empty()) {
            next = std::move(script.front());
            script.pop_front();
        }
        done(std::move(next));
    }

    void answer(int status, std::string body,
                std::vector<http::header> headers = {})
    {
        script.push_back({.transport = http::transport_result::complete,
                          .answer = {.status = status,
                                     .headers = std::move(headers),
                                     .body = std::move(body)}});
    }

    /** @brief Answers as an entry VM that refuses. */
    void refuse(int status, int code, bool not_run)
    {
        answer(status,
               "{\"code\":" + std::to_string(code) +
                   ",\"detail\":\"d\",\"not_run\":" +
                   (not_run ? "true" : "false") + ",\"current\":9}",
               {{"X-Rosemarytrail-Code", std::to_string(code)}});
    }

    void fail(http::transport_result how)
    {
        script.push_back({.transport = how});
    }

    std::deque<http::client_response> script;
    std::vector<http::client_request> sent;
};

/** @brief Run of the command line against a script. */
struct cli_run
{
    scripted_client client;
    std::ostringstream out;
    std::ostringstream err;

    int run(std::vector<const char*> words)
    {
        return static_cast<int>(
            cli::run(words, {.client = client, .out = out, .err = err}));
    }
};

} // namespace rosemarytrail::test

#endif
