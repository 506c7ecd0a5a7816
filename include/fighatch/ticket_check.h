#ifndef FIGHATCH_TICKET_CHECK_H_
#define FIGHATCH_TICKET_CHECK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/error.h"
#include "fighatch/ids.h"
#include "fighatch/state_document.h"
#include "fighatch/ticket.h"

namespace fighatch {

/// Largest encoded ticket in bytes, since it is sent in one message of at most 64 KiB. This is above `kMaxTicketBytes`
/// because short JSON objects grow when encoded.
inline constexpr std::size_t kMaxEncodedTicketBytes = 56 * 1024;

/// What a finding means for the ticket.
enum class FindingSeverity : std::uint8_t {
  /// Control hosts accept the ticket, but part of it has no effect or contradicts another part.
  kWarning = 0,
  /// Control hosts refuse the ticket.
  kError = 1,
};

/// "warning" or "error".
[[nodiscard]] std::string_view FindingSeverityName(FindingSeverity severity) noexcept;

/// One result of the check of a ticket.
struct TicketFinding {
  ErrorCode m_code = ErrorCode::kOk;
  FindingSeverity m_severity = FindingSeverity::kError;
  /// The path of the field in the ticket, for example `services[2].weights[0]`; empty for the ticket as a whole.
  std::string m_path;
  std::string m_text;

  friend bool operator==(const TicketFinding&, const TicketFinding&) = default;
};

/// Names of the services at each address: more than one only where a ticket was forced.
using AddressOwners = std::map<ServiceAddress, std::set<std::string>>;

/// The owners of all addresses of a state.
[[nodiscard]] AddressOwners AddressOwnersOf(const StateDocument& state);

/// What a ticket is checked against. The pointers must outlive the `TicketCheck`.
struct TicketCheckInput {
  /// The state in force; null if it is not known: what depends on it is not checked then.
  const StateDocument* m_state = nullptr;
  /// The owners of the addresses of `m_state`; null for none.
  const AddressOwners* m_address_owners = nullptr;
  /// For each removed service the ticket that removed it; null for none.
  const std::map<std::string, TicketNumber>* m_removal_tickets = nullptr;
  /// The highest number of which control hosts no longer know whether it was accepted.
  TicketNumber m_evicted_up_to;
  /// The lowest number that control hosts retain, if no lower one has room; 0 if there is room.
  TicketNumber m_lowest_retained;
};

/// Checks a parsed ticket: control hosts refuse it with the first error, and `fighatchctl check` prints all findings.
///
/// \code
/// const AddressOwners owners = AddressOwnersOf(state);
/// const TicketCheck check(ticket, {&state, &owners});
/// for (const TicketFinding& finding : check.FindErrors()) Print(finding);
/// \endcode
class TicketCheck {
 public:
  TicketCheck(const Ticket& ticket, const TicketCheckInput& input);

  /// The reasons to refuse the ticket, the one that control hosts answer with first. Codes: `kTicketMalformed`,
  /// `kTicketNumberTooLow`, and unless the ticket is forced `kTicketUnknownDataCentre`, `kTicketAddressConflict` and
  /// `kTicketAllDataCentresOut`.
  [[nodiscard]] std::vector<TicketFinding> FindErrors() const;

  /// Entries that never match, limits that contradict each other, and what `force` overrides. Codes: 3101 to 3109, and
  /// those that `force` overrides.
  [[nodiscard]] std::vector<TicketFinding> FindWarnings() const;

 private:
  using Findings = std::vector<TicketFinding>;

  // Checks whose findings are errors whether or not the ticket is forced.
  void CheckStructure(Findings* findings) const;
  void CheckNumbers(Findings* findings) const;
  // Checks that `force` turns into warnings.
  void CheckDataCentreNames(Findings* findings) const;
  void CheckAddresses(Findings* findings) const;
  void CheckDataCentresInService(Findings* findings) const;
  void CheckSafety(Findings* findings) const;
  // Checks of one service of the ticket whose findings are warnings.
  void FindUnmatchableAddresses(std::size_t index, Findings* findings) const;
  void FindShadowedPrefixes(std::size_t index, Findings* findings) const;
  void FindUnreachableService(std::size_t index, Findings* findings) const;
  void FindUnmatchablePaths(std::size_t index, Findings* findings) const;
  void FindRepeatedWeights(std::size_t index, Findings* findings) const;
  void FindWeightsWithoutTargets(std::size_t index, Findings* findings) const;
  void FindAdmissionWithoutWeight(std::size_t index, Findings* findings) const;
  void FindSharesBelowSlot(std::size_t index, Findings* findings) const;
  void FindRemovalsWithoutEffect(Findings* findings) const;

  // The service or data centre as it would be after the ticket; null if there would be none.
  [[nodiscard]] const Service* ServiceAfter(const std::string& name) const;
  [[nodiscard]] const DataCentre* DataCentreAfter(const std::string& name) const;
  // True if the ticket removes the service, or sets it.
  [[nodiscard]] bool Removes(const std::string& name) const;
  [[nodiscard]] bool Sets(const std::string& name) const;
  // The names of the services that have the address in the state.
  [[nodiscard]] const std::set<std::string>& OwnersInForce(const ServiceAddress& address) const;
  // Another service to which balancers send all packets for the address after the ticket; empty if there is none.
  [[nodiscard]] std::string PreferredOwner(const ServiceAddress& address, const std::string& name) const;
  // Balancers send the packets of an address of two services to the one with the lower id. Returns the id of the
  // service after the ticket.
  [[nodiscard]] std::uint64_t IdAfter(const std::string& name) const;
  // True if the service has weights of known data centres and none of them is in with a weight above zero. While the
  // state is not known, a data centre that the ticket does not set counts as known and in.
  [[nodiscard]] bool HasNoDataCentreInService(const Service& service) const;
  [[nodiscard]] const StateDocument& State() const noexcept;

  const Ticket& m_ticket;
  TicketCheckInput m_input;
};

/// Parses the JSON form of a ticket into `out`. Returns no finding if that succeeds. Codes: `kTicketMalformed` with the
/// path of the first wrong field, `kTicketTooLarge`.
[[nodiscard]] std::vector<TicketFinding> CheckTicketText(std::string_view text, Ticket* out);

/// `kTicketTooLarge` if a ticket of this many encoded bytes does not fit into a message, `kOk` otherwise.
[[nodiscard]] Error CheckEncodedTicketSize(std::size_t bytes);

/// `kTicketNumberConflict` if the number was accepted for a ticket with another digest, `kOk` otherwise.
[[nodiscard]] Error CheckNumberConflict(TicketNumber number, const TicketDigest& digest,
                                        const AcceptedTicket& accepted);

}  // namespace fighatch

#endif  // FIGHATCH_TICKET_CHECK_H_
