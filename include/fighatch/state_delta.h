#ifndef FIGHATCH_STATE_DELTA_H_
#define FIGHATCH_STATE_DELTA_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"
#include "fighatch/state_document.h"

namespace fighatch {

/// The number of changes that a delta may span. A receiver that is further behind gets a snapshot.
inline constexpr std::size_t kMaxDeltaChanges = 256;

/// The number of ticket numbers kept in `StateDocument::m_recent_tickets`.
inline constexpr std::size_t kMaxRecentTickets = 64;

/// What changed between two versions of the state: the new value of each object that changed.
struct StateDelta {
  /// The version that the delta applies to; unset in a snapshot.
  Version m_from;
  /// The version after the delta was applied.
  Version m_to;
  std::vector<Service> m_services;
  std::vector<DataCentre> m_data_centres;
  std::vector<std::string> m_removed_services;
  std::uint32_t m_last_service_id = 0;
  std::uint16_t m_last_data_centre_id = 0;
  /// Tickets that came into force.
  std::vector<TicketNumber> m_tickets;
  /// The whole state, where the receiver is too far behind for a delta; then the lists above are empty.
  std::optional<StateDocument> m_snapshot;
  /// `StateDigest` of the state at `m_to`.
  std::uint64_t m_digest = 0;

  friend bool operator==(const StateDelta&, const StateDelta&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_to, m_services, m_data_centres, m_removed_services, m_last_service_id, m_last_data_centre_id,
            m_tickets, m_snapshot, m_digest);
  }
};

/// Adds ticket numbers to the ascending list and keeps the `kMaxRecentTickets` highest.
void AddRecentTickets(std::span<const TicketNumber> numbers, StateDocument* state);

/// Brings the state to `delta.m_to`. The state is left as it is on an error, and where it is already at `m_to` or
/// newer. Errors: `kMessageMalformed` if the delta does not start at the state's version or its digest does not match;
/// the receiver then asks for a snapshot by reporting version 0.
[[nodiscard]] Status ApplyDelta(const StateDelta& delta, StateDocument* state);

/// Encodes the delta in cereal's portable binary form.
[[nodiscard]] std::vector<std::byte> EncodeDelta(const StateDelta& delta);

/// Decodes what `EncodeDelta` wrote. Errors: `kMessageMalformed`.
[[nodiscard]] Result<StateDelta> DecodeDelta(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_STATE_DELTA_H_
