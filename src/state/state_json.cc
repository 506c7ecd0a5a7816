#include "state/state_json.h"

#include <sodium.h>

#include <algorithm>
#include <limits>

#include "state/ticket_reader.h"

namespace fighatch {
namespace {

// Reads the id and the ticket, which only the state has.
template <typename Object>
void ReadAssigned(config::ObjectReader& reader, Object* out) {
  reader.Unsigned("id", 1, std::numeric_limits<decltype(out->m_id.m_value)>::max(), &out->m_id.m_value);
  reader.Unsigned("ticket", 0, std::numeric_limits<std::uint64_t>::max(), &out->m_ticket.m_value);
}

}  // namespace

using nlohmann::ordered_json;

std::string DigestToHex(const TicketDigest& digest) {
  std::string hex(digest.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  hex.pop_back();
  return hex;
}

Result<TicketDigest> DigestFromHex(const std::string& text) {
  TicketDigest digest{};
  std::size_t size = 0;
  const int failed = sodium_hex2bin(digest.data(), digest.size(), text.data(), text.size(), nullptr, &size, nullptr);
  if (failed != 0 || size != digest.size()) return MakeError(ErrorCode::kMessageMalformed, "digest");
  return digest;
}

ordered_json ServiceToJson(const Service& service) {
  ordered_json json{{"name", service.m_name},
                    {"id", service.m_id.m_value},
                    {"ticket", service.m_ticket.m_value},
                    {"mode", ServiceModeName(service.m_mode)}};
  json["addresses"] = ordered_json::array();
  for (const ServiceAddress& address : service.m_addresses) {
    json["addresses"].push_back(
        {{"endpoint", ToString(address.m_endpoint)}, {"transport", TransportName(address.m_transport)}});
  }
  json["admission"] = ordered_json::array();
  for (const AdmissionRule& rule : service.m_admission) {
    json["admission"].push_back({{"prefix", ToString(rule.m_prefix)}, {"data_centre", rule.m_data_centre}});
  }
  json["weights"] = ordered_json::array();
  for (const DataCentreWeight& weight : service.m_weights) {
    json["weights"].push_back({{"data_centre", weight.m_data_centre}, {"weight", weight.m_weight}});
  }
  json["hash_slots"] = service.m_hash_slots;
  json["idempotent_paths"] = service.m_idempotent_paths;
  json["shed_means_not_run"] = service.m_shed_means_not_run;
  return json;
}

ordered_json DataCentreToJson(const DataCentre& data_centre) {
  return {{"name", data_centre.m_name},
          {"id", data_centre.m_id.m_value},
          {"ticket", data_centre.m_ticket.m_value},
          {"region", data_centre.m_region},
          {"state", DataCentreStateName(data_centre.m_state)}};
}

ordered_json StateToJson(const StateDocument& state) {
  ordered_json json{{"epoch", state.m_version.m_epoch}, {"generation", state.m_version.m_generation}};
  json["data_centres"] = ordered_json::array();
  for (const auto& [name, data_centre] : state.m_data_centres) {
    json["data_centres"].push_back(DataCentreToJson(data_centre));
  }
  json["services"] = ordered_json::array();
  for (const auto& [name, service] : state.m_services) json["services"].push_back(ServiceToJson(service));
  json["recent_tickets"] = ordered_json::array();
  for (const TicketNumber number : state.m_recent_tickets) json["recent_tickets"].push_back(number.m_value);
  return json;
}

Result<StateDocument> StateFromJson(const nlohmann::json& json) {
  constexpr std::uint64_t kAny = std::numeric_limits<std::uint64_t>::max();
  nlohmann::json fields = json;
  StateDocument state;
  // `ObjectReader` has no list of numbers.
  if (fields.is_object() && fields.contains("recent_tickets")) {
    for (const nlohmann::json& number : fields["recent_tickets"]) {
      if (!number.is_number_unsigned()) return MakeError(ErrorCode::kSettingsWrongType, "recent_tickets");
      state.m_recent_tickets.push_back({number.get<std::uint64_t>()});
    }
    fields.erase("recent_tickets");
  }
  config::ObjectReader reader(fields, "");
  reader.Unsigned("epoch", 0, kAny, &state.m_version.m_epoch);
  reader.Unsigned("generation", 0, kAny, &state.m_version.m_generation);
  reader.OptionalObjects("services", [&state](config::ObjectReader& item) {
    Service service;
    ReadService(item, &service);
    ReadAssigned(item, &service);
    state.m_last_service_id = std::max(state.m_last_service_id, service.m_id.m_value);
    state.m_services[service.m_name] = service;
  });
  reader.OptionalObjects("data_centres", [&state](config::ObjectReader& item) {
    DataCentre data_centre;
    ReadDataCentre(item, &data_centre);
    ReadAssigned(item, &data_centre);
    state.m_last_data_centre_id = std::max(state.m_last_data_centre_id, data_centre.m_id.m_value);
    state.m_data_centres[data_centre.m_name] = data_centre;
  });
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return state;
}

ordered_json AnswerToJson(const TicketAnswer& answer) {
  return {{"number", answer.m_number.m_value},
          {"accepted", answer.m_code == ErrorCode::kOk},
          {"code", static_cast<int>(answer.m_code)},
          {"error", ErrorName(answer.m_code)},
          {"detail", answer.m_detail},
          {"digest", DigestToHex(answer.m_digest)},
          {"epoch", answer.m_version.m_epoch},
          {"generation", answer.m_version.m_generation}};
}

}  // namespace fighatch
