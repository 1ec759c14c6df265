#include <rosemarytrail/fleet/cell_config.hpp>

namespace rosemarytrail::fleet {

const queue* cell_config::find_queue(std::string_view host,
                                     std::string_view path) const noexcept
{
    const queue* best = nullptr;
    for (const auto& it : queues) {
        const bool matches =
            it.host == host && path.starts_with(it.path_prefix);
        if (matches && (best == nullptr ||
                        it.path_prefix.size() > best->path_prefix.size())) {
            best = &it;
        }
    }
    return best;
}

const client_account* cell_config::find_account(const std::string& name) const
{
    const auto it = accounts.find(name);
    return it == accounts.end() ? nullptr : &it->second;
}

} // namespace rosemarytrail::fleet
