#include "fighatch/announcement.h"

#include <sodium.h>

#include <algorithm>
#include <optional>

#include "config/json_reader.h"
#include "fighatch/hash.h"

namespace fighatch {
namespace {

static_assert(std::tuple_size_v<TargetKey> == crypto_auth_KEYBYTES);

constexpr std::uint64_t kMaxJsonNumber = (1ULL << 53U) - 1;  // JSON numbers are exact up to this value.
constexpr std::uint64_t kMaxTargetSlots = 4096;
constexpr std::uint64_t kMaxTargetConnections = 10'000'000;
constexpr std::array kAnnouncedStates = {TargetState::kStarting, TargetState::kServing, TargetState::kDraining,
                                         TargetState::kStopped};

void ReadState(config::ObjectReader& reader, TargetState* out) {
  std::string name;
  reader.Text("state", &name);
  for (const TargetState state : kAnnouncedStates) {
    if (TargetStateName(state) == name) {
      *out = state;
      return;
    }
  }
  reader.Fail(ErrorCode::kSettingsOutOfRange, "state", "neither starting, serving, draining nor stopped");
}

void ReadNames(config::ObjectReader& reader, Announcement* out) {
  reader.Text("service", &out->m_service);
  reader.Text("data_centre", &out->m_data_centre);
  if (out->m_service.empty()) reader.Fail(ErrorCode::kSettingsOutOfRange, "service", "empty");
  if (out->m_data_centre.empty()) reader.Fail(ErrorCode::kSettingsOutOfRange, "data_centre", "empty");
}

void ReadNumbers(config::ObjectReader& reader, Announcement* out) {
  reader.Unsigned("slots", 1, kMaxTargetSlots, &out->m_slots);
  reader.Unsigned("connections", 1, kMaxTargetConnections, &out->m_connections);
  reader.Unsigned("incarnation", 1, kMaxJsonNumber, &out->m_incarnation.m_value);
  reader.Unsigned("sequence", 1, kMaxJsonNumber, &out->m_sequence);
  reader.Unsigned("requests_in_progress", 0, UINT32_MAX, &out->m_requests_in_progress);
  reader.Unsigned("open_connections", 0, UINT32_MAX, &out->m_open_connections);
  reader.Unsigned("uptime_ms", 0, kMaxJsonNumber, &out->m_uptime_ms);
}

std::string ToHex(std::span<const unsigned char> bytes) {
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

std::optional<std::array<unsigned char, crypto_auth_BYTES>> FromHex(std::string_view text) {
  std::array<unsigned char, crypto_auth_BYTES> bytes{};
  std::size_t size = 0;
  if (text.size() != bytes.size() * 2) return std::nullopt;
  const int failed = sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr);
  if (failed != 0 || size != bytes.size()) return std::nullopt;
  return bytes;
}

const unsigned char* BytesOf(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

bool IsAdmitted(const Service& service, const Announcement& announcement) {
  return std::any_of(service.m_admission.begin(), service.m_admission.end(), [&](const AdmissionRule& rule) {
    return rule.m_data_centre == announcement.m_data_centre &&
           rule.m_prefix.Contains(announcement.m_gue_endpoint.m_address) &&
           rule.m_prefix.Contains(announcement.m_http_endpoint.m_address);
  });
}

TargetInfo MakeTargetInfo(const Announcement& announcement, ServiceId service, DataCentreId data_centre) {
  TargetInfo info;
  info.m_id = TargetIdOf(announcement.m_service, announcement.m_http_endpoint);
  info.m_service = service;
  info.m_data_centre = data_centre;
  info.m_gue_endpoint = announcement.m_gue_endpoint;
  info.m_http_endpoint = announcement.m_http_endpoint;
  info.m_incarnation = announcement.m_incarnation;
  info.m_state = announcement.m_state;
  info.m_slots = announcement.m_slots;
  info.m_connections = announcement.m_connections;
  return info;
}

}  // namespace

Result<Announcement> ParseAnnouncement(std::string_view body) {
  if (body.size() > kMaxAnnouncementBytes)
    return MakeError(ErrorCode::kAnnouncementOversized, std::to_string(body.size()) + " bytes");
  const Result<nlohmann::json> json = config::ParseJson(body);
  if (!IsOk(json)) return MakeError(ErrorCode::kAnnouncementMalformed, ToString(ErrorOf(json)));
  Announcement announcement;
  config::ObjectReader reader(ValueOf(json), "");
  ReadNames(reader, &announcement);
  reader.EndpointField("gue_endpoint", &announcement.m_gue_endpoint);
  reader.EndpointField("http_endpoint", &announcement.m_http_endpoint);
  ReadNumbers(reader, &announcement);
  ReadState(reader, &announcement.m_state);
  const Status status = reader.Finish();
  if (!IsOk(status)) return MakeError(ErrorCode::kAnnouncementMalformed, ToString(ErrorOf(status)));
  return announcement;
}

std::string ToJson(const Announcement& announcement) {
  const nlohmann::json json = {
      {"service", announcement.m_service},
      {"data_centre", announcement.m_data_centre},
      {"gue_endpoint", ToString(announcement.m_gue_endpoint)},
      {"http_endpoint", ToString(announcement.m_http_endpoint)},
      {"slots", announcement.m_slots},
      {"connections", announcement.m_connections},
      {"incarnation", announcement.m_incarnation.m_value},
      {"state", TargetStateName(announcement.m_state)},
      {"requests_in_progress", announcement.m_requests_in_progress},
      {"open_connections", announcement.m_open_connections},
      {"uptime_ms", announcement.m_uptime_ms},
      {"sequence", announcement.m_sequence},
  };
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string SignAnnouncement(std::string_view body, const TargetKey& key) {
  std::array<unsigned char, crypto_auth_BYTES> mac{};
  crypto_auth(mac.data(), BytesOf(body), body.size(), key.data());
  return ToHex(mac);
}

Status VerifyAnnouncement(std::string_view body, std::string_view signature, std::span<const TargetKey> keys) {
  if (body.size() > kMaxAnnouncementBytes)
    return MakeError(ErrorCode::kAnnouncementOversized, std::to_string(body.size()) + " bytes");
  const auto mac = FromHex(signature);
  if (!mac) return MakeError(ErrorCode::kAnnouncementForged, "signature is not 64 hexadecimal digits");
  for (const TargetKey& key : keys) {
    if (crypto_auth_verify(mac->data(), BytesOf(body), body.size(), key.data()) == 0) return OkStatus();
  }
  return MakeError(ErrorCode::kAnnouncementForged, "signature matches no key");
}

TargetId TargetIdOf(std::string_view service, const Endpoint& http_endpoint) {
  return TargetId{MixHash(HashText(service), HashText(ToString(http_endpoint)))};
}

Result<TargetInfo> AdmitAnnouncement(const Announcement& announcement, const StateDocument& state,
                                     DataCentreId own_data_centre) {
  const auto service = state.m_services.find(announcement.m_service);
  if (service == state.m_services.end())
    return MakeError(ErrorCode::kAnnouncementNotAdmitted, "unknown service " + announcement.m_service);
  const auto data_centre = state.m_data_centres.find(announcement.m_data_centre);
  if (data_centre == state.m_data_centres.end() || data_centre->second.m_id != own_data_centre)
    return MakeError(ErrorCode::kAnnouncementWrongDataCentre, announcement.m_data_centre);
  if (!IsAdmitted(service->second, announcement))
    return MakeError(ErrorCode::kAnnouncementNotAdmitted, ToString(announcement.m_http_endpoint));
  return MakeTargetInfo(announcement, service->second.m_id, own_data_centre);
}

}  // namespace fighatch
