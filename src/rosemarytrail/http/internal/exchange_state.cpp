#include <rosemarytrail/http/internal/exchange_state.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

namespace rosemarytrail::http::internal {

namespace {

/** @brief Body of a response that is truncated after some bytes. */
struct cut_body
{
    std::string bytes;
    std::size_t cut_after;
};

ssize_t read_cut_body(void* context, std::uint64_t position, char* buf,
                      std::size_t max_bytes)
{
    const auto& it = *static_cast<cut_body*>(context);
    if (position >= it.cut_after) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto n = std::min<std::size_t>(max_bytes, it.cut_after - position);
    std::memcpy(buf, it.bytes.data() + position, n);
    return static_cast<ssize_t>(n);
}

void free_cut_body(void* context)
{
    delete static_cast<cut_body*>(context);
}

void free_string(void* context)
{
    delete static_cast<std::string*>(context);
}

[[nodiscard]] MHD_Response* make_whole(std::string body)
{
    auto* kept = new std::string{std::move(body)};
    return MHD_create_response_from_buffer_with_free_callback_cls(
        kept->size(), kept->data(), free_string, kept);
}

[[nodiscard]] MHD_Response* make_cut(std::string body, std::size_t cut_after)
{
    constexpr std::size_t block_bytes = 4096;
    const auto announced = body.size();
    auto* kept =
        new cut_body{std::move(body), std::min(cut_after, announced - 1)};
    return MHD_create_response_from_callback(
        announced, block_bytes, read_cut_body, kept, free_cut_body);
}

/** @return A response in HTTP/1.1 wire format. */
[[nodiscard]] std::string to_wire(const response& whole)
{
    auto result = "HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(whole.body.size());
    for (const auto& it : whole.headers) {
        result += "\r\n" + it.name + ": " + it.value;
    }
    return result + "\r\n\r\n" + whole.body;
}

[[nodiscard]] MHD_Response* make_response(planned_response planned)
{
    auto& whole = planned.whole;
    if (planned.cut_after) {
        return make_cut(std::move(whole.body), *planned.cut_after);
    }
    return make_whole(std::move(whole.body));
}

[[nodiscard]] MHD_Result queue(MHD_Connection* connection,
                               planned_response planned, bool last)
{
    const auto& whole = planned.whole;
    if (planned.cut_after && (*planned.cut_after == 0 || whole.body.empty())) {
        return MHD_NO;
    }
    const auto headers = whole.headers;
    const auto status = static_cast<unsigned>(whole.status);
    auto* out = make_response(std::move(planned));
    if (out == nullptr) {
        return MHD_NO;
    }
    for (const auto& it : headers) {
        MHD_add_response_header(out, it.name.c_str(), it.value.c_str());
    }
    if (last) {
        MHD_add_response_header(out, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const auto result = MHD_queue_response(connection, status, out);
    MHD_destroy_response(out);
    return result;
}

MHD_Result add_header(void* context, MHD_ValueKind /*kind*/, const char* key,
                      std::size_t key_size, const char* value,
                      std::size_t value_size)
{
    auto& headers = *static_cast<std::vector<header>*>(context);
    headers.push_back({.name = {key, key_size},
                       .value = value == nullptr
                                    ? std::string{}
                                    : std::string{value, value_size}});
    return MHD_YES;
}

} // namespace

bool waiting_exchanges::add(exchange_state& it)
{
    const std::lock_guard guard{lock_};
    if (stopping_) {
        return false;
    }
    waiting_.insert(&it);
    return true;
}

void waiting_exchanges::remove(exchange_state& it)
{
    const std::lock_guard guard{lock_};
    waiting_.erase(&it);
}

void waiting_exchanges::abandon_all()
{
    std::vector<std::shared_ptr<exchange_state>> all;
    {
        const std::lock_guard guard{lock_};
        stopping_ = true;
        for (auto* it : waiting_) {
            all.push_back(it->shared_from_this());
        }
    }
    for (const auto& it : all) {
        it->abandon();
    }
}

exchange_state::exchange_state(std::string_view uri)
{
    const auto mark = std::min(uri.find('?'), uri.size());
    incoming_.path = uri.substr(0, mark);
    incoming_.query = uri.substr(std::min(mark + 1, uri.size()));
}

void exchange_state::read_head(MHD_Connection* connection,
                               std::string_view method)
{
    const std::lock_guard guard{lock_};
    connection_ = connection;
    incoming_.method = method;
    MHD_get_connection_values_n(connection, MHD_HEADER_KIND, add_header,
                                &incoming_.headers);
}

bool exchange_state::add_body(std::string_view part, std::size_t max_bytes)
{
    if (mode == body_mode::drop) {
        discarded_bytes_ += part.size();
        return discarded_bytes_ <=
               std::max(max_bytes, max_discarded_body_bytes);
    }
    if (incoming_.body.size() + part.size() > max_bytes) {
        return false;
    }
    incoming_.body.append(part);
    return true;
}

void exchange_state::answer(planned_response planned)
{
    const std::lock_guard guard{lock_};
    if (planned_ || connection_ == nullptr) {
        return;
    }
    planned_ = std::move(planned);
    if (suspended_) {
        suspended_ = false;
        MHD_resume_connection(connection_);
    }
}

void exchange_state::abandon()
{
    const std::lock_guard guard{lock_};
    abandoned_ = true;
    if (suspended_ && connection_ != nullptr) {
        suspended_ = false;
        MHD_resume_connection(connection_);
    }
}

MHD_Result exchange_state::proceed(waiting_exchanges& waiting,
                                   bool last_of_connection)
{
    const std::lock_guard guard{lock_};
    if (abandoned_ || connection_ == nullptr) {
        return MHD_NO;
    }
    if (planned_) {
        if (planned_->twice) {
            duplicate_ = to_wire(planned_->whole);
        }
        return queue(connection_, std::move(*planned_), last_of_connection);
    }
    if (!waiting.add(*this)) {
        return MHD_NO;
    }
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return MHD_YES;
}

void exchange_state::end()
{
    const std::lock_guard guard{lock_};
    if (connection_ != nullptr && !duplicate_.empty()) {
        send_duplicate();
    }
    connection_ = nullptr;
}

// libmicrohttpd sends only one response per request, so the second is written
// to the socket directly.
void exchange_state::send_duplicate() const
{
    const auto* info =
        MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        ::send(info->connect_fd, duplicate_.data(), duplicate_.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
    }
}

} // namespace rosemarytrail::http::internal
