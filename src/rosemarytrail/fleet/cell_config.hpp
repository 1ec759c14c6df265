#ifndef ROSEMARYTRAIL_FLEET_CELL_CONFIG_HPP
#define ROSEMARYTRAIL_FLEET_CELL_CONFIG_HPP

#include <rosemarytrail/fleet/job.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Queue that clients reach by host and path. */
struct queue
{
    std::string host;
    std::string path_prefix;
    /** @brief Accepts requests without an API key. */
    bool is_public{false};
    queue_policy policy;
};

/** @brief Client account with its share and limits. */
struct client_account
{
    std::string name;
    /** @brief Share of a full cell, in jobs per second. */
    double weight{};
    /** @brief Resources that its running tasks may use; zero is unlimited. */
    resource_amounts limit;
};

/** @brief Active configuration of the cell. */
struct cell_config
{
    std::int64_t version{};
    std::vector<queue> queues;
    std::map<std::string, client_account> accounts;
    /** @brief Account name by API key. */
    std::unordered_map<std::string, std::string> account_of_key;
    /** @brief Services, and whether their workers reject tasks that exceed the
     * free capacity. */
    std::map<std::string, bool> worker_checks_capacity;

    /**
     * @brief Finds the queue of a request.
     * @param host Host header.
     * @param path Path of the request.
     * @return Queue with the longest matching prefix, or null.
     */
    [[nodiscard]] const queue* find_queue(std::string_view host,
                                          std::string_view path) const noexcept;

    /**
     * @brief Finds a client account.
     * @param name Its name; empty for a job without an account.
     * @return The account, or null.
     */
    [[nodiscard]] const client_account*
    find_account(const std::string& name) const;
};

} // namespace rosemarytrail::fleet

#endif
