#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/state/internal/allowance_split.hpp>
#include <rosemarytrail/state/internal/rules.hpp>

#include <variant>

namespace rosemarytrail::state::internal {

namespace {

std::string name_of(const team_spec& value)
{
    return "team/" + value.team.str();
}

std::string name_of(const key_spec& value)
{
    return "key/" + value.key.str();
}

/** @brief Returns why a document is invalid; empty if it is valid. */
std::string find_error(const cell_data& /*data*/, const team_spec& value)
{
    return value.limit.is_valid() ? "" : "limit is negative";
}

std::string find_error(const cell_data& data, const key_spec& value)
{
    const auto it = data.withdrawn.find(value.key);
    const bool reused = !value.withdrawn && it != data.withdrawn.end() &&
                        it->second.contains(value.hash);
    return reused ? "hash was withdrawn; the key needs a new secret" : "";
}

void apply_document(cell_data& data, const team_spec& value)
{
    data.teams[value.team] = value;
    std::vector<resources>& shares = data.allowances[value.team];
    shares.resize(data.partitions.size());
    fit_to_limit(shares, value.limit);
}

void apply_document(cell_data& data, const key_spec& value)
{
    key_spec& key = data.keys[value.key];
    if (value.withdrawn) {
        std::set<std::string>& hashes = data.withdrawn[value.key];
        hashes.insert(value.hash);
        if (!key.key.empty()) {
            hashes.insert(key.hash);
        }
    }
    key = value;
}

} // namespace

void cell_data::set_partitions(std::uint32_t n)
{
    partitions.resize(n);
    jobs.set_partitions(n);
    for (const auto& it : teams) {
        std::vector<resources>& shares = allowances[it.first];
        shares.resize(n);
        fit_to_limit(shares, it.second.limit);
    }
}

record_result fold(cell_data& data, const document_published& value,
                   const record_context& context)
{
    const auto it = data.documents.find(value.name);
    const record_number current =
        it == data.documents.end() ? 0 : it->second.revision;
    if (value.replaces != current) {
        return make_void(result_code::record_void_revision,
                         value.name + " has a different current revision",
                         current);
    }
    reason why;
    const auto parsed = documents::parse_published(value.content, why);
    if (!parsed) {
        return make_void(result_code::record_void_document,
                         std::move(why.detail), current);
    }
    return std::visit(
        [&](const auto& document) -> record_result {
            std::string error = name_of(document) == value.name
                                    ? find_error(data, document)
                                    : "document content is for " +
                                          name_of(document) +
                                          ", but its name is " + value.name;
            if (!error.empty()) {
                return make_void(result_code::record_void_document,
                                 std::move(error), current);
            }
            apply_document(data, document);
            data.documents[value.name] = {.content = value.content,
                                          .revision = context.number};
            return {.current = context.number};
        },
        *parsed);
}

} // namespace rosemarytrail::state::internal
