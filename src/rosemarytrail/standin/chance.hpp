#ifndef ROSEMARYTRAIL_STANDIN_CHANCE_HPP
#define ROSEMARYTRAIL_STANDIN_CHANCE_HPP

#include <cstdint>
#include <random>

namespace rosemarytrail::standin {

/** @brief Decides by a seed which calls meet a fault. */
class chance
{
public:
    /** @param seed Seed; equal seeds give equal decisions. */
    explicit chance(std::uint64_t seed)
        : engine_{seed}
    {}

    /**
     * @brief Decides one call; draws nothing if the fraction is zero.
     * @param fraction Fraction of the calls, 0 to 1.
     * @return True for that fraction of the calls.
     */
    [[nodiscard]] bool hit(double fraction)
    {
        if (fraction <= 0.0) {
            return false;
        }
        return std::uniform_real_distribution<>{0.0, 1.0}(engine_) < fraction;
    }

private:
    std::mt19937_64 engine_;
};

} // namespace rosemarytrail::standin

#endif
