#include <rosemarytrail/cli/run.hpp>
#include <rosemarytrail/http/client.hpp>

#include <csignal>
#include <iostream>
#include <span>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::span<const char* const> words{argv,
                                             static_cast<std::size_t>(argc)};
    const auto client = rosemarytrail::http::make_curl_client({});
    const auto ended = rosemarytrail::cli::run(
        words.subspan(argc > 0 ? 1 : 0),
        {.client = *client, .out = std::cout, .err = std::cerr});
    return static_cast<int>(ended);
}
