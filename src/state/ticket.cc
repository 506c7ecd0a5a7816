#include "fighatch/ticket.h"

#include <sodium.h>

#include <bit>

#include "config/json_reader.h"
#include "state/ticket_reader.h"
#include "wire/codec.h"

namespace fighatch {
namespace {

using config::ObjectReader;

constexpr std::uint64_t kMaxTicketNumber = (1ULL << 53U) - 1;  // JSON readers that use doubles are exact up to here.
constexpr std::uint32_t kMinHashSlots = 256;
constexpr std::uint32_t kMaxHashSlots = 1 << 20;
constexpr std::uint32_t kMaxWeight = 1000;

void ReadMode(ObjectReader& reader, ServiceMode* out) {
  std::string name(ServiceModeName(*out));
  reader.OptionalText("mode", &name);
  if (name == ServiceModeName(ServiceMode::kFlow)) {
    *out = ServiceMode::kFlow;
  } else if (name == ServiceModeName(ServiceMode::kRequest)) {
    *out = ServiceMode::kRequest;
  } else {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "mode", "neither flow nor request");
  }
}

void ReadAddress(ObjectReader& reader, ServiceAddress* out) {
  reader.EndpointField("endpoint", &out->m_endpoint);
  std::string transport = "tcp";
  reader.OptionalText("transport", &transport);
  if (transport != "tcp" && transport != "udp") {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "transport", "neither tcp nor udp");
  }
  out->m_transport = transport == "udp" ? Transport::kUdp : Transport::kTcp;
}

void ReadAdmissionRule(ObjectReader& reader, AdmissionRule* out) {
  std::string prefix;
  reader.Text("prefix", &prefix);
  reader.Text("data_centre", &out->m_data_centre);
  const Result<Cidr> cidr = ParseCidr(prefix);
  if (!IsOk(cidr)) return reader.Fail(ErrorCode::kSettingsWrongType, "prefix", ErrorOf(cidr).m_detail);
  out->m_prefix = ValueOf(cidr);
}

}  // namespace

void ReadService(ObjectReader& reader, Service* out) {
  reader.Text("name", &out->m_name);
  if (out->m_name.empty()) reader.Fail(ErrorCode::kSettingsOutOfRange, "name", "empty");
  ReadMode(reader, &out->m_mode);
  reader.OptionalObjects("addresses",
                         [out](ObjectReader& item) { ReadAddress(item, &out->m_addresses.emplace_back()); });
  reader.OptionalObjects("admission",
                         [out](ObjectReader& item) { ReadAdmissionRule(item, &out->m_admission.emplace_back()); });
  reader.OptionalObjects("weights", [out](ObjectReader& item) {
    DataCentreWeight& weight = out->m_weights.emplace_back();
    item.Text("data_centre", &weight.m_data_centre);
    item.OptionalUnsigned("weight", 0, kMaxWeight, &weight.m_weight);
  });
  reader.OptionalUnsigned("hash_slots", kMinHashSlots, kMaxHashSlots, &out->m_hash_slots);
  if (!std::has_single_bit(out->m_hash_slots)) {
    reader.Fail(ErrorCode::kSettingsOutOfRange, "hash_slots", "not a power of two");
  }
  reader.OptionalTextList("idempotent_paths", &out->m_idempotent_paths);
  reader.OptionalBool("shed_means_not_run", &out->m_shed_means_not_run);
}

void ReadDataCentre(ObjectReader& reader, DataCentre* out) {
  reader.Text("name", &out->m_name);
  if (out->m_name.empty()) reader.Fail(ErrorCode::kSettingsOutOfRange, "name", "empty");
  reader.OptionalText("region", &out->m_region);
  std::string state = "in";
  reader.OptionalText("state", &state);
  if (state != "in" && state != "out") reader.Fail(ErrorCode::kSettingsOutOfRange, "state", "neither in nor out");
  out->m_state = state == "out" ? DataCentreState::kOut : DataCentreState::kIn;
}

Result<Ticket> ReadTicket(std::string_view text) {
  if (text.size() > kMaxTicketBytes)
    return MakeError(ErrorCode::kTicketTooLarge, std::to_string(text.size()) + " bytes");
  const Result<nlohmann::json> json = config::ParseJson(text);
  if (!IsOk(json)) return ErrorOf(json);
  Ticket ticket;
  ObjectReader reader(ValueOf(json), "");
  reader.Unsigned("number", 1, kMaxTicketNumber, &ticket.m_number.m_value);
  reader.Text("author", &ticket.m_author);
  reader.OptionalBool("force", &ticket.m_force);
  reader.OptionalObjects("services",
                         [&ticket](ObjectReader& item) { ReadService(item, &ticket.m_services.emplace_back()); });
  reader.OptionalObjects(
      "data_centres", [&ticket](ObjectReader& item) { ReadDataCentre(item, &ticket.m_data_centres.emplace_back()); });
  reader.OptionalTextList("removed_services", &ticket.m_removed_services);
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return ticket;
}

Result<Ticket> ParseTicket(std::string_view text) {
  Result<Ticket> ticket = ReadTicket(text);
  if (IsOk(ticket) || ErrorOf(ticket).m_code == ErrorCode::kTicketTooLarge) return ticket;
  return MakeError(ErrorCode::kTicketMalformed, ToString(ErrorOf(ticket)));
}

TicketDigest DigestOf(const Ticket& ticket) {
  const std::vector<std::byte> encoded = wire::Encode(ticket);
  TicketDigest digest{};
  crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(encoded.data()),
                     encoded.size(), nullptr, 0);
  return digest;
}

}  // namespace fighatch
