#ifndef ROSEMARYTRAIL_STANDIN_CONTROL_PAGE_HPP
#define ROSEMARYTRAIL_STANDIN_CONTROL_PAGE_HPP

#include <rosemarytrail/http/message.hpp>
#include <rosemarytrail/standin/fault_fields.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::standin {

/**
 * @brief Makes an answer in JSON.
 * @param status Status.
 * @param body JSON.
 * @return The answer.
 */
[[nodiscard]] inline http::response json_answer(int status, std::string body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = std::move(body)};
}

/**
 * @brief Answers `/live` and `/control`, which all stand-ins have.
 * @param incoming Request.
 * @param path Path below the prefix of the stand-in.
 * @param model Model whose faults are read or set; locked by the caller.
 * @return The answer, or nothing if the path is another one.
 */
template <typename Model>
[[nodiscard]] std::optional<http::response>
answer_common(const http::request& incoming, std::string_view path,
              Model& model)
{
    constexpr int bad_request = 400;
    if (path == "/live") {
        return json_answer(200, R"({"live":true})");
    }
    if (path != "/control") {
        return std::nullopt;
    }
    if (incoming.method == "POST") {
        const auto faults = update_faults(model.faults(), incoming.body);
        if (!faults) {
            return json_answer(bad_request, R"({"reason":"bad fault"})");
        }
        model.set_faults(*faults);
    }
    return json_answer(200, describe_faults(model.faults()));
}

} // namespace rosemarytrail::standin

#endif
