// Seeded fault runs of proxy and intents over fakes, in virtual time.

#include "request/callers.hpp"
#include "request/entry_vm.hpp"
#include "request/event_queue.hpp"

#include <rosemarytrail/documents/key_secret.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <vector>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the run");
ABSL_FLAG(int, requests, 100000, "requests to send");
ABSL_FLAG(double, rate, 120.0, "requests a second");

using namespace rosemarytrail;
using namespace rosemarytrail::bench;

namespace {

constexpr std::size_t upstream_count = 12;
constexpr std::size_t entry_count = 3;
constexpr duration detection{std::chrono::milliseconds{1500}};
constexpr duration list_lag{std::chrono::seconds{2}};

/** @brief Entry VMs, upstreams and log, with faults drawn by a seed. */
class world
{
public:
    explicit world(std::uint64_t seed)
        : random_{seed}
        , clients_{events_, fleet_, [this] { return choose(); }, "k.secret",
                   seed + 1}
    {
        salt_ = documents::make_salt();
        for (std::size_t n = 0; n < entry_count; ++n) {
            entries_.push_back(make_entry());
        }
        leaving_.resize(upstream_count);
        publish();
        events_.run_until(events_.now() + std::chrono::seconds{1});
    }

    void run(int requests, double rate)
    {
        next_fault();
        std::exponential_distribution<double> gap{rate};
        for (int n = 0; n < requests; ++n) {
            const std::chrono::duration<double> span{gap(random_)};
            events_.run_until(events_.now() +
                              std::chrono::duration_cast<duration>(span));
            clients_.start();
        }
        faults_on_ = false;
        events_.run_until(events_.now() + std::chrono::seconds{60});
        clients_.check_all();
    }

    bool report(std::ostream& out) const;

private:
    entry_vm* choose()
    {
        auto& it = *entries_[draw(entry_count)];
        // The balancer learns late that an entry VM is gone.
        const bool known_gone = is_known_gone(*it.owner);
        return known_gone ? nullptr : &it;
    }

    std::unique_ptr<entry_vm> make_entry()
    {
        const auto name = "e" + std::to_string(++incarnations_);
        return std::make_unique<entry_vm>(
            events_, fleet_, store_, name, random_(),
            [this](const incarnation_id& it) { return is_alive(it); });
    }

    bool is_alive(const incarnation_id& id)
    {
        return std::ranges::any_of(entries_, [&](const auto& it) {
            return it->owner->name == id.str() && !is_known_gone(*it->owner);
        });
    }

    bool is_known_gone(const owner& it)
    {
        const auto since = stopped_.find(it.name);
        return since != stopped_.end() &&
               events_.now() - since->second > detection;
    }

    void publish()
    {
        auto table = std::make_shared<request::routing_table>();
        for (std::size_t n = 0; n < upstream_count; ++n) {
            const auto name = "u" + std::to_string(n);
            table->services[service_id{"s"}].push_back(
                {.vm = vm_id{name},
                 .zone = zone_id{"z" + std::to_string(n % 3)},
                 .address = name,
                 .busy_slots = fleet_.models[n].busy(),
                 .leaving = leaving_[n]});
        }
        table->keys[key_id{"k"}] = {
            .key = key_id{"k"},
            .team = team_id{"t"},
            .account = "a",
            .salt = salt_,
            .hash = documents::hash_secret(salt_, "secret")};
        table->entry_vms = entry_count;
        table->fresh_until = events_.now() + std::chrono::hours{1};
        table->catching_up = false;
        for (std::size_t n = 0; n < entry_count; ++n) {
            auto own = std::make_shared<request::routing_table>(*table);
            own->zone = zone_id{"z" + std::to_string(n)};
            entries_[n]->proxy.set_table(own);
        }
        events_.after(std::chrono::milliseconds{500}, [this] { publish(); });
    }

    void next_fault()
    {
        if (faults_on_) {
            inject();
            events_.after(std::chrono::milliseconds{300 + draw(2500)},
                          [this] { next_fault(); });
        }
    }

    void inject()
    {
        ++faults_;
        switch (draw(10)) {
        case 0:
            kill(draw(entry_count));
            break;
        case 1:
        case 2:
            pause(draw(entry_count));
            break;
        case 3:
            log_fault({.mode = standin::fault_mode::down});
            break;
        case 4:
            log_fault({.lose_answers = 0.3});
            break;
        default:
            upstream_fault(draw(upstream_count));
            break;
        }
    }

    void kill(std::size_t n)
    {
        entries_[n]->owner->dead = true;
        stopped_[entries_[n]->owner->name] = events_.now();
        events_.after(std::chrono::seconds{3}, [this, n] {
            if (entries_[n]->owner->dead) {
                graveyard_.push_back(std::move(entries_[n]));
                entries_[n] = make_entry();
                // A new table comes with the next publication.
            }
        });
    }

    void pause(std::size_t n)
    {
        const auto self = entries_[n]->owner;
        if (self->dead || self->paused) {
            return;
        }
        self->paused = true;
        stopped_[self->name] = events_.now();
        events_.after(std::chrono::milliseconds{100 + draw(5000)},
                      [this, self] {
                          if (!self->dead) {
                              stopped_.erase(self->name);
                          }
                          self->resume();
                      });
    }

    void log_fault(const standin::log_faults& faults)
    {
        store_.set_faults(faults);
        events_.after(std::chrono::milliseconds{500 + draw(4000)},
                      [this] { store_.set_faults({}); });
    }

    void upstream_fault(std::size_t n)
    {
        standin::upstream_faults faults{.seed = n + 1};
        const double fraction = 0.05 + 0.1 * static_cast<double>(draw(6));
        switch (draw(9)) {
        case 0:
            faults.fail = fraction;
            break;
        case 1:
            faults.refuse = fraction;
            break;
        case 2:
            faults.cut_off = fraction;
            break;
        case 3:
            faults.late = fraction;
            break;
        case 4:
            faults.crossed = fraction;
            break;
        case 5:
            faults.doubled = fraction;
            break;
        case 6:
            faults.mode = standin::fault_mode::down;
            break;
        case 7:
            faults.mode = standin::fault_mode::slow;
            break;
        default:
            faults.leaving = true;
            events_.after(list_lag, [this, n] { leaving_[n] = true; });
            break;
        }
        fleet_.models[n].set_faults(faults);
        events_.after(std::chrono::milliseconds{1000 + draw(8000)}, [this, n] {
            fleet_.models[n].set_faults({.seed = n + 1});
            events_.after(list_lag, [this, n] { leaving_[n] = false; });
        });
    }

    std::uint64_t draw(std::uint64_t n) { return random_() % n; }

    event_queue events_;
    std::mt19937_64 random_;
    standin::log_store store_;
    fake_fleet fleet_{upstream_count};
    std::string salt_;
    std::uint64_t incarnations_{};
    std::map<std::string, time_point> stopped_;
    std::vector<std::unique_ptr<entry_vm>> entries_;
    std::vector<std::unique_ptr<entry_vm>> graveyard_;
    std::vector<bool> leaving_;
    callers clients_;
    bool faults_on_{true};
    std::uint64_t faults_{};
};

bool world::report(std::ostream& out) const
{
    const auto& it = clients_.result();
    out << "requests " << it.requests << ", sendings " << it.sendings
        << ", faults " << faults_ << ", entry VMs " << incarnations_ << '\n'
        << "answered " << it.answered << " (kept answers " << it.kept
        << "), errors of upstreams " << it.upstream_errors << '\n'
        << "said not run " << it.said_not_run << ", unknown " << it.said_unknown
        << ", in progress " << it.in_progress << ", other refusals "
        << it.other_refusals << ", no answer " << it.unanswered << '\n'
        << "codes:";
    for (const auto& [code, n] : it.codes) {
        out << ' ' << code << '=' << n;
    }
    out << "\nslowest \"not run\" "
        << static_cast<double>(it.slowest_refusal.count()) / 1000.0 << " ms\n"
        << "run twice " << it.doubled << ", wrong answers " << it.wrong_answers
        << ", false \"not run\" " << it.false_not_run << '\n';
    return it.doubled + it.wrong_answers + it.false_not_run == 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto seed = absl::GetFlag(FLAGS_seed);
    const auto requests = absl::GetFlag(FLAGS_requests);
    world it{seed};
    it.run(requests, absl::GetFlag(FLAGS_rate));
    std::cout << "bench_request_faults --seed=" << seed
              << " --requests=" << requests << '\n';
    return it.report(std::cout) ? 0 : 1;
}
