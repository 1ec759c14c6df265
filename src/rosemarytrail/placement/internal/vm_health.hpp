#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_VM_HEALTH_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_VM_HEALTH_HPP

#include <rosemarytrail/placement/internal/ledger.hpp>

#include <cstdint>
#include <vector>

namespace rosemarytrail::placement::internal {

/**
 * @brief Tells VMs that fail everything from jobs that fail everywhere.
 *
 * Evidence against a VM are the distinct jobs that failed on it since a task
 * last succeeded there. A job that never succeeded counts the less the more
 * VMs it failed on.
 */
class vm_health
{
public:
    explicit vm_health(const scheduler_options& options) noexcept
        : most_aside_{options.set_aside_fraction}
    {}

    /**
     * @brief Notes a failure, and sets the VM aside on enough evidence.
     * @return True if the VM was set aside.
     */
    bool failed(ledger& book, task_key task, index vm, time_point now);

    /** @brief Notes a success, which clears the evidence against the VM. */
    void succeeded(ledger& book, index vm);

    /** @brief Withdraws a job's evidence, for it failed everywhere. */
    void absolve(ledger& book, index job);

    /** @brief Lets VMs whose time is over take work again, on probation. */
    void end_set_aside(ledger& book, time_point now);

    /** @brief Forgets a VM that left. */
    void forget(index vm);

private:
    struct failure
    {
        task_key task{};
        std::uint64_t serial{};
        index team{no_index};
    };

    struct record
    {
        std::vector<failure> failures;
        /** @brief Times set aside since a task last succeeded. */
        std::uint32_t times{};
        time_point until{};
    };

    [[nodiscard]] bool is_evident(const ledger& book,
                                  const record& value) const;
    [[nodiscard]] bool is_below_cap(const ledger& book) const;
    void set_aside(ledger& book, index vm, time_point now);

    double most_aside_;
    std::vector<record> records_;
    std::vector<index> aside_;
};

} // namespace rosemarytrail::placement::internal

#endif
