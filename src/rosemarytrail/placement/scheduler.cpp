#include <rosemarytrail/placement/scheduler.hpp>

#include <rosemarytrail/placement/internal/default_scheduler.hpp>

namespace rosemarytrail::placement {

std::unique_ptr<scheduler> make_scheduler(const scheduler_options& options)
{
    return std::make_unique<internal::default_scheduler>(options);
}

} // namespace rosemarytrail::placement
