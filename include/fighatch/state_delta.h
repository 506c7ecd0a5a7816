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

/// Most changes that one delta covers. A receiver that is further behind gets a snapshot.
inline constexpr std::size_t kMaxDeltaChanges = 256;

/// Most ticket numbers kept in `StateDocument::m_recent_tickets`.
inline constexpr std::size_t kMaxRecentTickets = 64;

/// The difference between two versions of the state: the new value of each service and data centre that changed, and
/// the names of the services that were removed.
struct StateDelta {
  /// The version that the delta applies to; (0, 0) in a snapshot.
  Version m_from;
  /// The version of the state after the delta is applied.
  Version m_to;
  std::vector<Service> m_services;
  std::vector<DataCentre> m_data_centres;
  std::vector<std::string> m_removed_services;
  std::uint32_t m_last_service_id = 0;
  std::uint16_t m_last_data_centre_id = 0;
  /// Tickets that came into force between the two versions.
  std::vector<TicketNumber> m_tickets;
  /// The whole state, for a receiver that is too far behind for a delta; the lists above are empty then.
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

/// Brings the state to `delta.m_to`. Does nothing if the state is already at that version or a newer one. Errors:
/// `kMessageMalformed` if the delta does not start at the state's version or the digest of the result does not match;
/// the state is unchanged then, and the receiver asks for a snapshot by reporting version 0.
[[nodiscard]] Status ApplyDelta(const StateDelta& delta, StateDocument* state);

/// Encodes the delta in cereal's portable binary form.
[[nodiscard]] std::vector<std::byte> EncodeDelta(const StateDelta& delta);

/// Decodes what `EncodeDelta` wrote. Errors: `kMessageMalformed`.
[[nodiscard]] Result<StateDelta> DecodeDelta(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_STATE_DELTA_H_
