#ifndef ROSEMARYTRAIL_CORE_ID_HPP
#define ROSEMARYTRAIL_CORE_ID_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace rosemarytrail {

/**
 * @brief Name of one kind of thing; names of different kinds do not mix.
 * @tparam Tag Empty type that tells the kinds apart.
 */
template <typename Tag>
class basic_id
{
public:
    basic_id() = default;

    /** @param value Text of the name. */
    explicit basic_id(std::string value) noexcept
        : value_{std::move(value)}
    {}

    /** @return Text of the name. */
    [[nodiscard]] const std::string& str() const noexcept { return value_; }

    /** @return True if no name was set. */
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    // clang-tidy takes the rewritten comparison for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const basic_id&,
                                          const basic_id&) = default;
    // NOLINTEND(modernize-use-nullptr)

private:
    std::string value_;
};

/** @brief Team that owns jobs, has a share and an upper limit. */
using team_id = basic_id<struct team_tag>;
/** @brief Key that a client account shows; the secret itself is no id. */
using key_id = basic_id<struct key_tag>;
/** @brief Accepted job. */
using job_id = basic_id<struct job_tag>;
/** @brief Virtual machine that runs tasks. */
using vm_id = basic_id<struct vm_tag>;
/** @brief Rack that a VM stands in. */
using rack_id = basic_id<struct rack_tag>;
/** @brief Availability zone. */
using zone_id = basic_id<struct zone_tag>;
/** @brief One run of one daemon process; a restart gets a new one. */
using incarnation_id = basic_id<struct incarnation_tag>;
/** @brief Service that client accounts send requests to. */
using service_id = basic_id<struct service_tag>;

/** @brief Number of a partition, from zero. */
using partition_id = std::uint32_t;

/**
 * @brief Place of one record in the log: batch offset and index within it.
 *
 * Encoded as `offset * records_per_batch + index`, so it grows along the log.
 * It serves as the revision of a document and the epoch of a claim.
 */
using record_number = std::uint64_t;

/** @brief Most records that one batch may hold. */
inline constexpr std::uint64_t records_per_batch = 1024;

/**
 * @brief Numbers a record.
 * @param offset Offset of the batch in its stream, from zero.
 * @param index Index of the record in the batch.
 * @return Number of the record; never zero, which means "none".
 */
[[nodiscard]] constexpr record_number
make_record_number(std::uint64_t offset, std::uint64_t index) noexcept
{
    return (offset + 1) * records_per_batch + index;
}

/** @brief One task of a job. */
struct task_ref
{
    job_id job;
    std::uint32_t index{};

    // clang-tidy takes the rewritten comparison for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const task_ref&,
                                          const task_ref&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

} // namespace rosemarytrail

template <typename Tag>
struct std::hash<rosemarytrail::basic_id<Tag>>
{
    [[nodiscard]] std::size_t
    operator()(const rosemarytrail::basic_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <>
struct std::hash<rosemarytrail::task_ref>
{
    [[nodiscard]] std::size_t
    operator()(const rosemarytrail::task_ref& ref) const noexcept
    {
        constexpr std::size_t spread = 0x9e3779b97f4a7c15ULL;
        return std::hash<std::string>{}(ref.job.str()) ^ (ref.index * spread);
    }
};

#endif
