#include <rosemarytrail/fleet/advice_plan.hpp>
#include <rosemarytrail/fleet/internal/books.hpp>

#include <algorithm>

namespace rosemarytrail::fleet {

// The leader assigns slow requests: it tracks the progress of preceding steps
// and the available capacity, so that the few requests that the nodes can send
// per second go to steps that can use the response.

void dispatcher::books::close_question(step_book& step)
{
    if (!step.asked_of.empty()) {
        auto& open = open_questions[step.asked_of];
        open.questions -= open.questions > 0 ? 1 : 0;
        open.cost = std::max(open.cost - step.asked_cost, duration{});
        step.asked_of.clear();
    }
    step.asked_until = {};
    step.named.clear();
}

const std::string&
dispatcher::books::least_loaded(std::span<const std::string> nodes)
{
    return *std::ranges::min_element(
        nodes, {}, [this](const auto& it) { return open_questions[it].cost; });
}

void dispatcher::books::open_question(step_book& step, const std::string& node,
                                      time_point now)
{
    auto named = workers_to_name(step, now);
    if (named.empty()) {
        if (now < step.next_widening) {
            return;
        }
        // All candidates were refused or are no longer listed: the refusals are
        // cleared and the step is tried again, at most once per `advice_slack`.
        step.next_widening = now + options.advice_slack;
        step.refused.clear();
        named = workers_to_name(step, now);
        if (named.empty()) {
            return;
        }
    }
    const auto cost = advice_cost(*step.job->record.queue.advice, named.size());
    step.named = {named.begin(), named.end()};
    auto& open = open_questions[node];
    ++open.questions;
    open.cost += cost;
    step.asked_of = node;
    step.asked_cost = cost;
    step.asked_until = now + open.cost + options.advice_slack;
    questions.push_back({.member = node,
                         .question = {.step = step.key,
                                      .workers = std::move(named),
                                      .expected = cost}});
}

bool dispatcher::books::nearly_ready(const step_book& step, duration ahead,
                                     time_point now) const
{
    const auto& job = *step.job;
    const auto first = step.key.occurrence * job.record.spec.steps.size();
    for (const auto n : step.spec->depends_on) {
        const auto& before = job.steps[first + n];
        if (before.waiting > 0) {
            return false;
        }
        const duration estimate =
            std::chrono::milliseconds{before.spec->estimate_ms};
        for (const auto& task : before.tasks) {
            if (task.phase == task_phase::done) {
                continue;
            }
            if (task.phase != task_phase::running) {
                return false;
            }
            // From this progress on, the projection is more accurate than the
            // declared duration.
            constexpr int enough_percent = 20;
            const auto passed = now - task.since;
            const auto left = task.percent >= enough_percent
                                  ? passed * (100 - task.percent) / task.percent
                                  : estimate - passed;
            if (left > ahead) {
                return false;
            }
        }
    }
    return true;
}

bool dispatcher::books::wants_advice(step_book& step, std::size_t place,
                                     time_point now)
{
    const auto& policy = *step.job->record.queue.advice;
    if (step.tickets.empty()) {
        return true;
    }
    const auto cost = advice_cost(policy, step.tickets.size());
    if (step.tickets_until - cost > now) {
        if (!step.ready || now < step.next_widening) {
            return false;
        }
        step.next_widening = now + options.widen_period;
        return has_more_to_ask(step, now);
    }
    if (place < options.fresh_steps) {
        return true;
    }
    return has_room(step, now);
}

bool dispatcher::books::has_room(step_book& step, time_point now)
{
    return std::ranges::any_of(
        allowed_workers(step),
        [&](const worker_book* it) { return can_take(*it, step, now); });
}

duration dispatcher::books::usual_cost(const advice_policy& policy) const
{
    return advice_cost(policy, std::min(workers.size(), workers_per_question));
}

// Reserves nodes for fast requests as their backlog grows: fast requests serve
// far more jobs per unit of time than slow ones.
std::size_t dispatcher::books::long_nodes_now(duration short_backlog) const
{
    const auto usual =
        long_advice_nodes(members, options.long_advice_share).size();
    const auto needed =
        static_cast<std::size_t>(short_backlog / options.short_advice_wait);
    const auto left = members.size() > needed ? members.size() - needed : 0;
    return std::clamp<std::size_t>(left, 1, std::max<std::size_t>(usual, 1));
}

// A single pass finds all steps that may need advice, since a backlog may hold
// thousands of waiting steps.
void dispatcher::books::plan_questions(time_point now)
{
    if (members.empty() || now - last_questions < options.question_spacing) {
        return;
    }
    last_questions = now;
    duration short_backlog{};
    std::vector<ranked_step> short_steps;
    std::vector<ranked_step> long_steps;
    for (auto& [id, job] : jobs) {
        const auto& policy = job->record.queue.advice;
        if (!policy) {
            continue;
        }
        const bool is_long = policy->base_ms > options.long_advice_ms;
        for (auto& step : job->steps) {
            close_if_gone(step, now);
            if (step.waiting == 0 || job->ended()) {
                continue;
            }
            if (!is_long && step.ready && step.tickets_until <= now) {
                short_backlog += usual_cost(*policy);
            }
            if (is_long ? wants_long_advice(step, now)
                        : wants_short_advice(step, now)) {
                (is_long ? long_steps : short_steps)
                    .push_back(
                        {.rank = internal::rank_of(step, now), .step = &step});
            }
        }
    }
    std::ranges::sort(short_steps, internal::comes_first);
    std::ranges::sort(long_steps, internal::comes_first);
    ask_short_questions(short_steps, now);
    ask_long_questions(long_steps,
                       std::span{members}.first(long_nodes_now(short_backlog)),
                       now);
}

void dispatcher::books::close_if_gone(step_book& step, time_point now)
{
    if (step.asked_of.empty()) {
        return;
    }
    if (step.job->ended() || step.asked_until < now ||
        std::ranges::find(members, step.asked_of) == members.end()) {
        close_question(step);
    }
}

// The accepting node sends the requests for the first steps of a job. The
// leader assigns those that the node has not sent in time, requests for later
// steps while the preceding steps run, and renewals.
bool dispatcher::books::wants_short_advice(const step_book& step,
                                           time_point now) const
{
    if (!step.asked_of.empty()) {
        return false;
    }
    const auto& policy = step.job->record.queue.advice;
    const auto cost = advice_cost(*policy, options.named_least);
    if (!step.tickets.empty()) {
        return step.ready &&
               step.tickets_until - cost - options.renewal_margin <= now;
    }
    if (step.spec->depends_on.empty()) {
        const auto since = std::max(step.ready_at, step.job->accepted);
        return step.ready && now - since > options.short_advice_help;
    }
    if (step.ready) {
        return true;
    }
    // Tickets requested this early are still valid when the step becomes ready.
    const auto valid = std::chrono::milliseconds{policy->valid_ms};
    return step.key.occurrence == 0 && nearly_ready(step, valid / 2, now);
}

bool dispatcher::books::wants_long_advice(const step_book& step,
                                          time_point now) const
{
    const auto ahead =
        usual_cost(*step.job->record.queue.advice) + options.advice_slack / 4;
    return step.ready || nearly_ready(step, ahead, now);
}

void dispatcher::books::ask_short_questions(std::span<const ranked_step> order,
                                            time_point now)
{
    std::size_t place = 0;
    for (const auto& it : order) {
        // Under load, initial requests precede renewals that no worker has
        // capacity for.
        const bool renewal = !it.step->tickets.empty();
        if (place++ >= options.fresh_steps && renewal &&
            !has_room(*it.step, now)) {
            continue;
        }
        const auto& node = least_loaded(members);
        if (open_questions[node].cost > options.short_work_per_node) {
            return;
        }
        open_question(*it.step, node, now);
    }
}

void dispatcher::books::ask_long_questions(std::span<const ranked_step> order,
                                           std::span<const std::string> pool,
                                           time_point now)
{
    std::size_t place = 0;
    for (const auto& it : order) {
        const bool wanted = wants_advice(*it.step, place++, now);
        if (!wanted || !it.step->asked_of.empty()) {
            continue;
        }
        const auto& node = least_loaded(pool);
        if (open_questions[node].questions >= options.questions_per_node) {
            return;
        }
        open_question(*it.step, node, now);
    }
}

void dispatcher::on_question_lost(const question_order& order)
{
    auto* step = books_->find_step(order.question.step);
    if (step != nullptr && step->asked_of == order.member) {
        books_->close_question(*step);
    }
}

void dispatcher::set_members(std::span<const std::string> members)
{
    books_->members.assign(members.begin(), members.end());
    std::erase_if(books_->open_questions, [&](const auto& it) {
        return std::ranges::find(books_->members, it.first) ==
               books_->members.end();
    });
}

} // namespace rosemarytrail::fleet
