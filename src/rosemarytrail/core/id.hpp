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
 * @brief Strongly typed string identifier.
 *
 * Ids with different tags are distinct types and do not convert.
 *
 * @tparam Tag Empty type that distinguishes the kind of id.
 */
template <typename Tag>
class basic_id
{
public:
    basic_id() = default;

    /** @param value Text of the id. */
    explicit basic_id(std::string value) noexcept
        : value_{std::move(value)}
    {}

    /** @return Text of the id. */
    [[nodiscard]] const std::string& str() const noexcept { return value_; }

    /** @return True if the id is empty. */
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    // clang-tidy mistakes the rewritten comparison for a null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    [[nodiscard]] friend auto operator<=>(const basic_id&,
                                          const basic_id&) = default;
    // NOLINTEND(modernize-use-nullptr)

private:
    std::string value_;
};

/** @brief Team that owns jobs; it has a fair share and a resource limit. */
using team_id = basic_id<struct team_tag>;
/** @brief Public id of an API key of a client account; not the secret. */
using key_id = basic_id<struct key_tag>;
/** @brief Accepted job. */
using job_id = basic_id<struct job_tag>;
/** @brief Virtual machine that runs tasks. */
using vm_id = basic_id<struct vm_tag>;
/** @brief Rack that hosts a VM. */
using rack_id = basic_id<struct rack_tag>;
/** @brief Availability zone. */
using zone_id = basic_id<struct zone_tag>;
/** @brief One run of a daemon process; each restart gets a new id. */
using incarnation_id = basic_id<struct incarnation_tag>;
/** @brief Service that client accounts send requests to. */
using service_id = basic_id<struct service_tag>;

/** @brief Zero-based partition number. */
using partition_id = std::uint32_t;

/**
 * @brief Position of a record in the log: batch offset and index in the batch.
 *
 * Encoded as `(offset + 1) * records_per_batch + index`, so it increases along
 * the log. It serves as the revision of a document and the epoch of a claim.
 */
using record_number = std::uint64_t;

/** @brief Maximum number of records in a batch. */
inline constexpr std::uint64_t records_per_batch = 1024;

/**
 * @brief Computes the number of a record.
 * @param offset Zero-based offset of the batch in its stream.
 * @param index Index of the record in the batch.
 * @return Number of the record; never zero, which stands for "none".
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

    // clang-tidy mistakes the rewritten comparison for a null pointer.
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
        constexpr std::size_t hash_multiplier = 0x9e3779b97f4a7c15ULL;
        return std::hash<std::string>{}(ref.job.str()) ^
               (ref.index * hash_multiplier);
    }
};

#endif
