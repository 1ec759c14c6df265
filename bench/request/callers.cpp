#include "callers.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace rosemarytrail::bench {

namespace {

constexpr int most_sendings = 4;
constexpr duration caller_patience{std::chrono::milliseconds{2500}};
constexpr double post_fraction = 0.4;
constexpr double doubled_sendings = 0.02;

http::request make_request(const std::string& path, bool post, bool marked,
                           const std::string& key, int number)
{
    http::request it{.method = post ? "POST" : "GET",
                     .path = "/v1/services/s/" + path};
    it.headers = {{"Authorization", "Bearer " + key},
                  {"X-Deadline-Ms", "2000"},
                  // Callers choose poor ids: many requests share one.
                  {"X-Request-Id", "id"},
                  {"X-Sending", std::to_string(number)}};
    if (post) {
        it.headers.push_back({"Idempotency-Key", path});
    }
    if (marked) {
        it.headers.push_back({"X-Retried", "1"});
    }
    return it;
}

int code_of(const http::response& answer)
{
    const auto text = http::find_header(answer.headers, "X-Rosemarytrail-Code");
    int code = 0;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), code);
    }
    return code;
}

} // namespace

struct callers::sending
{
    std::shared_ptr<task> what;
    std::shared_ptr<owner> at;
    /** @brief Place among the sendings of the task, from one. */
    int number{};
    time_point sent{};
    bool ended{false};
};

class callers::caller_exchange final : public http::exchange
{
public:
    caller_exchange(callers& all, std::shared_ptr<sending> it,
                    http::request incoming)
        : all_{all}
        , sending_{std::move(it)}
        , incoming_{std::move(incoming)}
    {}

    [[nodiscard]] const http::request& incoming() const noexcept override
    {
        return incoming_;
    }

    void respond(http::response answer) override
    {
        all_.events_.after(
            std::chrono::milliseconds{1},
            [&all = all_, it = sending_, answer = std::move(answer)] {
                if (!it->at->dead) {
                    all.end(it, answer);
                }
            });
    }

    void cut_off(http::response /*answer*/, std::size_t /*bytes*/) override {}

private:
    callers& all_;
    std::shared_ptr<sending> sending_;
    http::request incoming_;
};

callers::callers(event_queue& events, fake_fleet& fleet, balancer choose,
                 std::string key, std::uint64_t seed)
    : events_{events}
    , fleet_{fleet}
    , choose_{std::move(choose)}
    , key_{std::move(key)}
    , random_{seed}
{}

void callers::start()
{
    auto it = std::make_shared<task>();
    it->path = "r" + std::to_string(tasks_.size());
    it->post = std::bernoulli_distribution{post_fraction}(random_);
    tasks_.push_back(it);
    ++tally_.requests;
    send(it);
    if (it->post && std::bernoulli_distribution{doubled_sendings}(random_)) {
        send(it);
    }
}

void callers::send(const std::shared_ptr<task>& it)
{
    auto* vm = choose_();
    if (vm == nullptr) {
        send_later(it);
        return;
    }
    // As long as nothing ran, a sending counts as the first.
    const bool marked = it->told_not_run != it->sendings;
    ++it->sendings;
    ++tally_.sendings;
    auto now = std::make_shared<sending>();
    now->what = it;
    now->at = vm->owner;
    now->sent = events_.now();
    now->number = it->sendings;
    auto incoming = make_request(it->path, it->post, marked, key_, now->number);
    vm->owner->deliver([this, vm, now, incoming] {
        if (auto refusal = vm->proxy.on_head(incoming)) {
            caller_exchange{*this, now, incoming}.respond(*refusal);
            return;
        }
        vm->proxy.on_request(
            std::make_shared<caller_exchange>(*this, now, incoming));
    });
    events_.after(caller_patience, [this, now] {
        if (!std::exchange(now->ended, true)) {
            ++tally_.unanswered;
            send_later(now->what);
        }
    });
}

void callers::end(const std::shared_ptr<sending>& it,
                  const http::response& answer)
{
    if (std::exchange(it->ended, true)) {
        return;
    }
    const auto id = http::find_header(answer.headers, "X-Request-Id");
    tally_.wrong_answers += id == "id" ? 0 : 1;
    if (code_of(answer) != 0) {
        refused(it, answer);
        return;
    }
    const auto right = fake_fleet::body_of(it->what->path);
    tally_.wrong_answers += answer.body == right ? 0 : 1;
    it->what->done = true;
    ++(answer.status < 400 ? tally_.answered : tally_.upstream_errors);
    tally_.kept += http::find_header(answer.headers, "X-Kept-Answer") ? 1 : 0;
}

void callers::refused(const std::shared_ptr<sending>& it,
                      const http::response& answer)
{
    ++tally_.codes[code_of(answer)];
    const bool not_run =
        answer.body.find("\"not_run\":true") != std::string::npos;
    if (not_run) {
        ++tally_.said_not_run;
        check_not_run(*it->what, it->number);
        ++it->what->told_not_run;
        claims_.emplace_back(it->what, it->number);
        tally_.slowest_refusal =
            std::max(tally_.slowest_refusal, events_.now() - it->sent);
        if (std::bernoulli_distribution{0.5}(random_)) {
            send_later(it->what);
        }
        return;
    }
    const bool busy = answer.status == 409;
    const bool unknown = code_of(answer) == 309;
    ++(busy      ? tally_.in_progress
       : unknown ? tally_.said_unknown
                 : tally_.other_refusals);
    send_later(it->what);
}

void callers::send_later(const std::shared_ptr<task>& it)
{
    if (it->done || it->sendings >= most_sendings) {
        return;
    }
    const duration wait{
        std::uniform_int_distribution<int>{100'000, 1'500'000}(random_)};
    events_.after(wait, [this, it] { send(it); });
}

void callers::check_not_run(const task& it, int number)
{
    // Neither this sending nor one before it may have run.
    const auto found = fleet_.first_sending_run.find(it.path);
    const bool ran =
        found != fleet_.first_sending_run.end() && found->second <= number;
    tally_.false_not_run += ran ? 1 : 0;
}

void callers::check_all()
{
    for (const auto& it : tasks_) {
        tally_.doubled += it->post && fleet_.runs.runs(it->path) > 1 ? 1 : 0;
    }
    tally_.false_not_run = 0;
    for (const auto& [it, number] : claims_) {
        check_not_run(*it, number);
    }
}

} // namespace rosemarytrail::bench
