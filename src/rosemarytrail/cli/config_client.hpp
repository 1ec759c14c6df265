#ifndef ROSEMARYTRAIL_CLI_CONFIG_CLIENT_HPP
#define ROSEMARYTRAIL_CLI_CONFIG_CLIENT_HPP

#include <rosemarytrail/cli/entry_client.hpp>
#include <rosemarytrail/documents/document.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarytrail::cli {

/** @brief Document in force, or why it is not known. */
struct config_read
{
    reply outcome;
    /** @brief Revision; zero if there is no such document. */
    std::uint64_t revision{};
    std::string document;
};

/** @brief What became of a publication. */
struct config_write
{
    reply outcome;
    /** @brief Revision that is in force now, if it is known. */
    std::optional<std::uint64_t> revision;
};

/** @brief Reads and publishes documents with the operator key. */
class config_client
{
public:
    /**
     * @brief Prepares a client.
     * @param entries Sends the calls; outlives this.
     * @param operator_key Operator key.
     */
    config_client(entry_client& entries, std::string operator_key);

    /**
     * @brief Reads a document.
     * @param name Name such as `team/kjolnett`.
     * @return The document; revision zero and result `ok` if there is none.
     */
    [[nodiscard]] config_read read(const std::string& name);

    /**
     * @brief Publishes a document.
     *
     * Where an answer was lost and another entry VM then finds a newer
     * revision, it reads that one: if it is this document, it was published.
     * @param name Name of the document.
     * @param document Text of the document.
     * @param replaces Revision that it replaces; zero for a new one.
     * @return What became of it.
     */
    [[nodiscard]] config_write publish(const std::string& name,
                                       const std::string& document,
                                       std::uint64_t replaces);

private:
    [[nodiscard]] call make_call(const std::string& method,
                                 const std::string& name) const;

    entry_client& entries_;
    std::string operator_key_;
};

/**
 * @brief Names a document.
 * @param document Document.
 * @return `team/<team>` or `key/<key id>`.
 */
[[nodiscard]] std::string name_of(const documents::published& document);

} // namespace rosemarytrail::cli

#endif
