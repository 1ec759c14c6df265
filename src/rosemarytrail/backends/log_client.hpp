#ifndef ROSEMARYTRAIL_BACKENDS_LOG_CLIENT_HPP
#define ROSEMARYTRAIL_BACKENDS_LOG_CLIENT_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::backends {

/** @brief Result of an append. */
enum class append_result : std::uint8_t
{
    /** @brief The log contains the entry at the returned offset. */
    appended,
    /** @brief The log rejected the entry and does not contain it. */
    refused,
    /** @brief No valid response; the log may contain the entry. */
    unknown
};

/** @brief Outcome of an append. */
struct append_outcome
{
    append_result result{append_result::unknown};
    /** @brief Offset of the entry, from zero; valid if appended. */
    std::uint64_t offset{};
    /** @brief Delay before a retry, if the log returned one. */
    std::optional<duration> retry_after{};
};

/** @brief One entry of a stream. */
struct log_entry
{
    std::uint64_t offset{};
    /** @brief Bytes of the entry, unchanged. */
    std::string payload;
};

/** @brief Result of a read. */
enum class read_result : std::uint8_t
{
    /** @brief The entries are consecutive from the requested offset. */
    read,
    /** @brief The requested offset was removed from the log. */
    trimmed,
    /** @brief No valid response. */
    failed
};

/** @brief Outcome of a read. */
struct read_outcome
{
    read_result result{read_result::failed};
    std::vector<log_entry> entries;
    /** @brief Oldest offset that the log retains. */
    std::uint64_t first_offset{};
    /** @brief Offset of the next append. */
    std::uint64_t next_offset{};
};

/** @brief Range of a read. */
struct read_options
{
    std::string stream;
    /** @brief First offset to read. */
    std::uint64_t from{};
    /** @brief Maximum payload in the response, in bytes. */
    std::size_t bytes{std::size_t{1} << 20U};
    /** @brief How long the log may delay the response to wait for new entries.
     */
    duration wait{};
};

/** @brief The platform's append-only log. */
class log_client
{
public:
    virtual ~log_client() = default;

    /**
     * @brief Appends one entry.
     * @param stream Name of the stream.
     * @param payload Bytes of the entry.
     * @param done Called once with the outcome.
     */
    virtual void append(std::string stream, std::string payload,
                        std::function<void(append_outcome)> done) = 0;

    /**
     * @brief Reads entries.
     * @param options Range to read.
     * @param done Called once with the outcome.
     */
    virtual void read(read_options options,
                      std::function<void(read_outcome)> done) = 0;
};

} // namespace rosemarytrail::backends

#endif
