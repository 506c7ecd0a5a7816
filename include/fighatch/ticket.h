#ifndef FIGHATCH_TICKET_H_
#define FIGHATCH_TICKET_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"
#include "fighatch/state_document.h"

namespace fighatch {

/// A 256-bit digest of a ticket's canonical form.
using TicketDigest = std::array<std::uint8_t, 32>;

/// Largest accepted JSON text of a ticket, in bytes.
inline constexpr std::size_t kMaxTicketBytes = 48 * 1024;

/// A numbered change of the state by an operator. Each service and data centre in it is given in full and replaces the
/// one of that name.
///
/// \code{.json}
/// {
///   "number": 7,
///   "author": "j.doe",
///   "data_centres": [{"name": "north", "region": "r1", "state": "in"}],
///   "services": [{
///     "name": "ledger-house", "mode": "flow",
///     "addresses": [{"endpoint": "198.51.100.7:443", "transport": "tcp"}],
///     "admission": [{"prefix": "10.1.0.0/16", "data_centre": "north"}],
///     "weights": [{"data_centre": "north", "weight": 1}]
///   }]
/// }
/// \endcode
struct Ticket {
  TicketNumber m_number;
  std::string m_author;
  /// Skips the checks with the error codes 3004 to 3006: unknown data centre, address conflict, all data centres out.
  bool m_force = false;
  std::vector<Service> m_services;
  std::vector<DataCentre> m_data_centres;
  /// Names of services that are removed.
  std::vector<std::string> m_removed_services;

  friend bool operator==(const Ticket&, const Ticket&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_number, m_author, m_force, m_services, m_data_centres, m_removed_services);
  }
};

/// What is retained of an accepted ticket.
struct AcceptedTicket {
  TicketDigest m_digest{};
  std::string m_author;
  Version m_version;

  friend bool operator==(const AcceptedTicket&, const AcceptedTicket&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_digest, m_author, m_version);
  }
};

/// Parses the JSON form (comments allowed). Errors: `kTicketMalformed` with the path of the field and the reason,
/// `kTicketTooLarge`.
[[nodiscard]] Result<Ticket> ParseTicket(std::string_view text);

/// BLAKE2b-256 of the encoded ticket: equal for equal content, whatever the layout of the JSON text.
[[nodiscard]] TicketDigest DigestOf(const Ticket& ticket);

}  // namespace fighatch

#endif  // FIGHATCH_TICKET_H_
