#ifndef FIGHATCH_STATE_STATE_JSON_H_
#define FIGHATCH_STATE_STATE_JSON_H_

#include <nlohmann/json.hpp>
#include <string>

#include "fighatch/state_document.h"
#include "fighatch/ticket.h"
#include "fighatch/ticket_processor.h"

namespace fighatch {

/// The JSON form with the field names of a ticket; `id` and `ticket` are added.
[[nodiscard]] nlohmann::ordered_json ServiceToJson(const Service& service);
/// \copydoc ServiceToJson
[[nodiscard]] nlohmann::ordered_json DataCentreToJson(const DataCentre& data_centre);
/// The whole state with its version, as `GET /v1/state` shows it.
[[nodiscard]] nlohmann::ordered_json StateToJson(const StateDocument& state);
/// Reads what `StateToJson` wrote. The JSON form has no record of ids that are no longer in use: the highest ids in use
/// count as the last ones assigned. Errors: those of `config::ObjectReader`.
[[nodiscard]] Result<StateDocument> StateFromJson(const nlohmann::json& json);
/// The answer to a ticket, as `POST /v1/tickets` gives it.
[[nodiscard]] nlohmann::ordered_json AnswerToJson(const TicketAnswer& answer);
/// The digest in hexadecimal digits.
[[nodiscard]] std::string DigestToHex(const TicketDigest& digest);
/// Reads what `DigestToHex` wrote. Errors: `kMessageMalformed`.
[[nodiscard]] Result<TicketDigest> DigestFromHex(const std::string& text);

}  // namespace fighatch

#endif  // FIGHATCH_STATE_STATE_JSON_H_
