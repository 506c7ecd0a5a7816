#ifndef FIGHATCH_ANNOUNCEMENT_H_
#define FIGHATCH_ANNOUNCEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "fighatch/result.h"
#include "fighatch/state_document.h"
#include "fighatch/table_update.h"

namespace fighatch {

/// The largest announcement body in bytes that is accepted.
inline constexpr std::size_t kMaxAnnouncementBytes = 4096;

/// A shared key with which targets sign announcements.
using TargetKey = std::array<std::uint8_t, 32>;

/// The body of `POST /v1/announce`, by which a target reports its endpoints, capacity, state and load to a balancer.
///
/// \code{.json}
/// {
///   "service": "crate-desk", "data_centre": "north", "state": "serving",
///   "gue_endpoint": "10.1.0.9:6080", "http_endpoint": "10.1.0.9:8080",
///   "slots": 2, "connections": 2000, "incarnation": 4, "sequence": 17,
///   "requests_in_progress": 1, "open_connections": 140, "uptime_ms": 90000
/// }
/// \endcode
struct Announcement {
  std::string m_service;
  std::string m_data_centre;
  Endpoint m_gue_endpoint;
  Endpoint m_http_endpoint;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  Incarnation m_incarnation;
  TargetState m_state = TargetState::kStarting;
  std::uint32_t m_requests_in_progress = 0;
  std::uint32_t m_open_connections = 0;
  std::uint64_t m_uptime_ms = 0;
  std::uint64_t m_sequence = 0;

  friend bool operator==(const Announcement&, const Announcement&) = default;
};

/// Parses the body. Every field is required, unknown fields are refused. Errors: `kAnnouncementMalformed` with the path
/// of the field, `kAnnouncementOversized`.
[[nodiscard]] Result<Announcement> ParseAnnouncement(std::string_view body);

/// Serialises the announcement to JSON that `ParseAnnouncement` accepts.
[[nodiscard]] std::string ToJson(const Announcement& announcement);

/// HMAC-SHA-512/256 of the body in hexadecimal, as sent in the signature header.
[[nodiscard]] std::string SignAnnouncement(std::string_view body, const TargetKey& key);

/// Checks the signature against each accepted key. Errors: `kAnnouncementOversized`, `kAnnouncementForged`.
[[nodiscard]] Status VerifyAnnouncement(std::string_view body, std::string_view signature,
                                        std::span<const TargetKey> keys);

/// The id that every host derives from the service's name and the target's HTTP endpoint.
[[nodiscard]] TargetId TargetIdOf(std::string_view service, const Endpoint& http_endpoint);

/// Applies the admission rules of the state document: both addresses must lie in a prefix that the service admits in
/// the target's data centre, which must be `own_data_centre`. Errors: `kAnnouncementNotAdmitted`,
/// `kAnnouncementWrongDataCentre`.
[[nodiscard]] Result<TargetInfo> AdmitAnnouncement(const Announcement& announcement, const StateDocument& state,
                                                   DataCentreId own_data_centre);

}  // namespace fighatch

#endif  // FIGHATCH_ANNOUNCEMENT_H_
