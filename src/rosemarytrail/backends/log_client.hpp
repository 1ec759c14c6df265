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

/** @brief What became of an append. */
enum class append_result : std::uint8_t
{
    /** @brief The entry is in the log at the offset given. */
    appended,
    /** @brief The log refused it, so it is not in the log. */
    refused,
    /** @brief No answer; the entry may be in the log. */
    unknown
};

/** @brief Answer to an append. */
struct append_outcome
{
    append_result result{append_result::unknown};
    /** @brief Offset of the entry, from zero; if appended. */
    std::uint64_t offset{};
    /** @brief When to try again, if the log said so. */
    std::optional<duration> retry_after{};
};

/** @brief One entry of a stream. */
struct log_entry
{
    std::uint64_t offset{};
    /** @brief Bytes as they were appended. */
    std::string payload;
};

/** @brief What became of a read. */
enum class read_result : std::uint8_t
{
    /** @brief The entries follow one another from the offset asked for. */
    read,
    /** @brief The offset is older than the log keeps. */
    trimmed,
    /** @brief No answer. */
    failed
};

/** @brief Answer to a read. */
struct read_outcome
{
    read_result result{read_result::failed};
    std::vector<log_entry> entries;
    /** @brief Oldest offset kept. */
    std::uint64_t first_offset{};
    /** @brief Offset that the next append will get. */
    std::uint64_t next_offset{};
};

/** @brief What to read. */
struct read_options
{
    std::string stream;
    /** @brief First offset to read. */
    std::uint64_t from{};
    /** @brief Most bytes of payload in the answer. */
    std::size_t bytes{std::size_t{1} << 20U};
    /** @brief How long the log may hold the answer back for new entries. */
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
     * @param options What to read.
     * @param done Called once with the outcome.
     */
    virtual void read(read_options options,
                      std::function<void(read_outcome)> done) = 0;
};

} // namespace rosemarytrail::backends

#endif
