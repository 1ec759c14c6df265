#include <rosemarytrail/cell/internal/node_state.hpp>

#include <rosemarytrail/logging/event_log.hpp>

namespace rosemarytrail::cell {

// The store lists only the nodes that own partitions, and assigns none to a
// node that joins again while other nodes own them all. Such a node can still
// send advice requests.
void node::internal_state::report_to_leader(time_point now)
{
    if (is_listed || leadership || shutting_down ||
        now - last_report < options.report_period) {
        return;
    }
    const auto address = leader_address();
    if (address.empty()) {
        return;
    }
    last_report = now;
    peers.send(
        address,
        {.entries = {}, .advice_requests = {}, .advice_node = options.member},
        options.peer_timeout, [](message_result) {});
}

bool node::internal_state::receive_report(std::string_view member,
                                          time_point now)
{
    if (!leadership) {
        return false;
    }
    auto& nodes = leadership->unlisted_nodes;
    const auto result = nodes.add(member, now);
    if (result == report_result::malformed ||
        result == report_result::too_many) {
        metrics.ignored_reports.add();
        logging::event(
            logging::level::warning, "advice_node_ignored",
            {{"why", result == report_result::malformed ? "malformed name"
                                                        : "too many nodes"},
             {"name_length", std::to_string(member.size())},
             {"reported_nodes", std::to_string(nodes.size())}});
        return false;
    }
    if (result == report_result::added) {
        logging::event(logging::level::info, "advice_node_reported",
                       {{"node", member},
                        {"reported_nodes", std::to_string(nodes.size())}});
        leadership->decisions.set_members(advice_nodes());
    }
    return true;
}

void node::internal_state::drop_expired_reports(time_point now) const
{
    if (!leadership) {
        return;
    }
    auto& nodes = leadership->unlisted_nodes;
    if (const auto dropped = nodes.drop_expired(now); dropped > 0) {
        logging::event(logging::level::info, "advice_nodes_expired",
                       {{"nodes", std::to_string(dropped)},
                        {"reported_nodes", std::to_string(nodes.size())}});
        leadership->decisions.set_members(advice_nodes());
    }
}

} // namespace rosemarytrail::cell
