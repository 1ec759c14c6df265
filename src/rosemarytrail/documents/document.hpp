#ifndef ROSEMARYTRAIL_DOCUMENTS_DOCUMENT_HPP
#define ROSEMARYTRAIL_DOCUMENTS_DOCUMENT_HPP

#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/reason.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace rosemarytrail::documents {

/** @brief Published document: a team or a key. */
using published = std::variant<team_spec, key_spec>;

/**
 * @brief Checks and reads the document of a job.
 * @param text JSON, for example
 * `{"kind":"job","name":"n","team":"t","class":"batch","tasks":2,
 * "request":{"millicores":500,"memory_mib":256,"accelerators":0},
 * "run_time_ms":1000,"urgent":false,"priority":5,"max_attempts":4,
 * "checkpointable":false}`; class `service` has `"service":"plugs"` in place of
 * `run_time_ms`, and the other classes have no service.
 * @param why Set if nothing is returned: field, value and what is allowed.
 * @return What the job asks for.
 */
[[nodiscard]] std::optional<job_spec> parse_job(std::string_view text,
                                                reason& why);

/**
 * @brief Checks and reads a published document.
 * @param text JSON, for example
 * `{"kind":"team","team":"t","weight":2.0,"limit":{"millicores":64000,
 * "memory_mib":131072,"accelerators":0}}` or `{"kind":"key","key":"k",
 * "team":"t","account":"a","salt":"..","hash":"..","withdrawn":false}`.
 * @param why Set if nothing is returned.
 * @return The document.
 */
[[nodiscard]] std::optional<published> parse_published(std::string_view text,
                                                       reason& why);

/**
 * @brief Writes a job as the document that `parse_job` reads.
 * @param spec Job to write.
 * @return JSON on one line.
 */
[[nodiscard]] std::string format_job(const job_spec& spec);

/**
 * @brief Writes a document that `parse_published` reads.
 * @param document Document to write.
 * @return JSON on one line.
 */
[[nodiscard]] std::string format_published(const published& document);

} // namespace rosemarytrail::documents

#endif
