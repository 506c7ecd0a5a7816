#ifndef FIGHATCH_TICKET_PROCESSOR_H_
#define FIGHATCH_TICKET_PROCESSOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"
#include "fighatch/state_delta.h"
#include "fighatch/state_document.h"
#include "fighatch/ticket.h"
#include "fighatch/ticket_check.h"

namespace fighatch {

/// Accepted tickets that are retained: one week at the planned 39,000 tickets a day. A number below all of them that is
/// not retained is refused with `kTicketNumberTooLow`, so that eviction never lets a second ticket be
/// accepted under the same number.
inline constexpr std::size_t kMaxRetainedTickets = 1 << 18;

/// The answer to a ticket: `kOk` if it is accepted.
struct TicketAnswer {
  TicketNumber m_number;
  ErrorCode m_code = ErrorCode::kOk;
  std::string m_detail;
  /// The digest of the accepted ticket of this number; that of the refused ticket if there is none.
  TicketDigest m_digest{};
  /// The version at which the ticket came into force; unset for a refused ticket.
  Version m_version;

  friend bool operator==(const TicketAnswer&, const TicketAnswer&) = default;
};

/// The deterministic state machine that control hosts run over the replicated log: it checks tickets, applies them to
/// the state and makes deltas for the hosts that follow it. Equal tickets in equal order give equal answers and equal
/// state on every host.
///
/// \code
/// TicketProcessor processor;
/// const TicketAnswer answer = processor.Apply(ticket, {term, index});
/// Serve(processor.State());
/// \endcode
class TicketProcessor {
 public:
  /// Validates a ticket and brings it into force at `version`, which must be above all versions given before. A refused
  /// ticket changes nothing and its number stays free. A number that was accepted before is answered as by `Find`.
  TicketAnswer Apply(const Ticket& ticket, Version version);

  /// The answer to a number whose ticket was accepted: accepted for an equal digest, `kTicketNumberConflict` otherwise.
  /// Empty if no ticket of this number is known.
  [[nodiscard]] std::optional<TicketAnswer> Find(TicketNumber number, const TicketDigest& digest) const;

  /// What is retained of an accepted ticket; null if there is none.
  [[nodiscard]] const AcceptedTicket* FindAccepted(TicketNumber number) const;

  [[nodiscard]] const StateDocument& State() const noexcept { return m_data.m_state; }

  /// What a receiver at `version` is missing; empty if that is the newest version known here or a newer one. It is a
  /// snapshot if the version is unknown here or more than `kMaxDeltaChanges` changes behind.
  [[nodiscard]] std::optional<StateDelta> DeltaSince(Version version) const;

  /// Encodes the state and everything else that later answers depend on.
  [[nodiscard]] std::vector<std::byte> EncodeSnapshot() const;

  /// Replaces everything by a snapshot of `EncodeSnapshot`. Errors: `kMessageMalformed`; nothing has changed then.
  [[nodiscard]] Status Restore(std::span<const std::byte> snapshot);

 private:
  // The objects that one ticket set or removed, by name.
  struct Change {
    Version m_version;
    TicketNumber m_number;
    std::vector<std::string> m_services;
    std::vector<std::string> m_data_centres;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(m_version, m_number, m_services, m_data_centres);
    }
  };

  // The content of a snapshot.
  struct SnapshotData {
    StateDocument m_state;
    std::map<TicketNumber, AcceptedTicket> m_accepted;
    // The highest number evicted so far. Numbers up to it are refused unless they are retained.
    TicketNumber m_evicted_up_to;
    // For each removed service the ticket that removed it, so that a ticket with a lower number does not restore it.
    std::map<std::string, TicketNumber> m_removal_tickets;
    // The version before the first of `m_changes`, which is the oldest one that a delta can start at.
    Version m_oldest_delta_base;
    // The last `kMaxDeltaChanges` changes, oldest first.
    std::vector<Change> m_changes;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(m_state, m_accepted, m_evicted_up_to, m_removal_tickets, m_oldest_delta_base, m_changes);
    }
  };

  // The reason to refuse the ticket; kOk if there is none.
  [[nodiscard]] Error Check(const Ticket& ticket) const;

  void ApplyToState(const Ticket& ticket, Version version);
  void SetService(const Ticket& ticket, const Service& service);
  void RemoveService(const Ticket& ticket, const std::string& name);
  void SetDataCentre(const Ticket& ticket, const DataCentre& data_centre);
  void RecordChange(const Ticket& ticket, Version version);
  void RetainAccepted(const Ticket& ticket, const TicketDigest& digest, Version version);
  void IndexAddresses(const Service& service);
  void UnindexAddresses(const Service& service);
  [[nodiscard]] StateDelta MakeDelta(std::size_t first_change, Version from) const;
  [[nodiscard]] std::uint64_t Digest() const;

  SnapshotData m_data;
  // The owners of the addresses of the state, kept so that a check does not visit all services.
  AddressOwners m_address_owners;
  // Digest of the state, computed at the first use after a change.
  mutable std::optional<std::uint64_t> m_digest;
};

}  // namespace fighatch

#endif  // FIGHATCH_TICKET_PROCESSOR_H_
