#include <rosemarytrail/backends/http_worker_client.hpp>

#include <rosemarytrail/backends/worker_wire.hpp>

#include <utility>

namespace rosemarytrail::backends {

namespace {

using http::transport_result;

constexpr int status_ok = 200;
constexpr int status_precondition_failed = 412;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

[[nodiscard]] bool rejected_batch(result_code code) noexcept
{
    return code == result_code::worker_epoch_refused ||
           code == result_code::worker_token_refused;
}

[[nodiscard]] worker_outcome failed(result_code code)
{
    worker_outcome result;
    result.code = code;
    return result;
}

[[nodiscard]] worker_outcome read_response(const http::response& answer,
                                           std::size_t commands)
{
    auto result = decode_worker_outcome(answer.body);
    if (!result) {
        return failed(result_code::worker_answer_malformed);
    }
    const bool executed = answer.status == status_ok;
    const bool consistent = executed ? result->code == result_code::ok &&
                                           result->commands.size() == commands
                                     : rejected_batch(result->code);
    if (!consistent) {
        return failed(result_code::worker_answer_malformed);
    }
    return std::move(*result);
}

[[nodiscard]] worker_outcome read_outcome_of(const http::client_response& it,
                                             std::size_t commands)
{
    if (it.transport == transport_result::not_sent) {
        return failed(result_code::worker_unreachable);
    }
    if (it.transport != transport_result::complete) {
        return failed(result_code::worker_answer_unknown);
    }
    const int status = it.answer.status;
    if (status == status_ok || status == status_precondition_failed) {
        return read_response(it.answer, commands);
    }
    const bool rejected =
        status >= first_client_error && status < first_server_error;
    return failed(rejected ? result_code::worker_unreachable
                           : result_code::worker_answer_unknown);
}

/** @brief HTTP implementation of worker_client. */
class http_worker_client final : public worker_client
{
public:
    http_worker_client(http::client& client, const http_worker_options& options)
        : client_{client}
        , options_{options}
    {}

    void send(const std::string& address, worker_batch batch,
              std::function<void(worker_outcome)> done) override
    {
        // A batch without a token carries no commands; see worker_batch::token.
        const auto commands = batch.token == 0 ? 0 : batch.commands.size();
        http::client_request out{.method = "POST",
                                 .url = "http://" + address + "/v1/batch",
                                 .timeout = options_.timeout};
        out.headers = {{"Content-Type", "application/json"}};
        out.body = encode_worker_batch(batch);
        client_.fetch(std::move(out), [commands, done = std::move(done)](
                                          const http::client_response& it) {
            done(read_outcome_of(it, commands));
        });
    }

private:
    http::client& client_;
    http_worker_options options_;
};

} // namespace

std::unique_ptr<worker_client>
make_http_worker_client(http::client& client,
                        const http_worker_options& options)
{
    return std::make_unique<http_worker_client>(client, options);
}

} // namespace rosemarytrail::backends
