#include <rosemarytrail/backends/http_worker_client.hpp>

#include <rosemarytrail/backends/worker_wire.hpp>

#include <utility>

namespace rosemarytrail::backends {

namespace {

using http::transport_result;

constexpr int status_ok = 200;
constexpr int status_precondition = 412;
constexpr int first_refusal = 400;
constexpr int first_failure = 500;

[[nodiscard]] bool did_nothing(result_code code) noexcept
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

[[nodiscard]] worker_outcome read_answer(const http::response& answer,
                                         std::size_t commands)
{
    auto result = decode_worker_outcome(answer.body);
    if (!result) {
        return failed(result_code::worker_answer_malformed);
    }
    const bool obeyed = answer.status == status_ok;
    const bool fits = obeyed ? result->code == result_code::ok &&
                                   result->commands.size() == commands
                             : did_nothing(result->code);
    if (!fits) {
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
    if (status == status_ok || status == status_precondition) {
        return read_answer(it.answer, commands);
    }
    const bool refused = status >= first_refusal && status < first_failure;
    return failed(refused ? result_code::worker_unreachable
                          : result_code::worker_answer_unknown);
}

/** @brief Client of the workers over HTTP. */
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
        // A worker without a token sends no command: see worker_batch.
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
