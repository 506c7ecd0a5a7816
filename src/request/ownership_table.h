#ifndef FIGHATCH_REQUEST_OWNERSHIP_TABLE_H_
#define FIGHATCH_REQUEST_OWNERSHIP_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fighatch/request_message.h"
#include "fighatch/time.h"

namespace fighatch {

/// The issuing host and its incarnation, under which a set of request ids was issued.
using IssuerIncarnation = std::pair<HostId, Incarnation>;

/// Where a request with a given id must be handled: by this host, by another host, or nowhere if no known live host may
/// dispatch it.
struct OwnerRoute {
  enum class Kind : std::uint8_t { kLocal = 0, kForward = 1, kNobody = 2 };
  Kind m_kind = Kind::kNobody;
  /// Set for `kForward`.
  HostId m_host;
};

/// Tracks which host owns each issuer incarnation, that is, may dispatch the requests with its ids. The issuer owns its
/// own ids until a planned stop hands them over to a successor. Times are on this host's clock unless said otherwise.
class OwnershipTable {
 public:
  OwnershipTable(HostId self, Incarnation incarnation) noexcept : m_self(self), m_incarnation(incarnation) {}

  /// Where the request with this id must be handled.
  [[nodiscard]] OwnerRoute Find(const RequestId& id) const;

  /// The issuer's clock at `now`. For an incarnation that was taken over it is an estimate that never runs ahead.
  [[nodiscard]] TimePoint IssuerClock(const IssuerIncarnation& issuer, TimePoint now) const;

  void OnMemberAlive(HostId host, Incarnation incarnation);
  void OnMemberDied(HostId host, Incarnation incarnation);
  void OnNotice(const SuccessorNotice& notice, TimePoint now);

  /// True if a handover part is not for this host's own incarnation and comes from the sender of the parts received
  /// before, if any: only one sender may hand over an incarnation.
  [[nodiscard]] bool AcceptsHandover(const Handover& part) const;

  /// True if any handover part of this issuer incarnation was recorded.
  [[nodiscard]] bool HasPartsOf(const IssuerIncarnation& issuer) const { return m_received.contains(issuer); }

  /// Records a part whose entries are already in the journal. True if it completes the handover.
  bool RecordPart(const Handover& part, TimePoint now);

  /// Issuer incarnations whose handover to this host is complete.
  [[nodiscard]] std::vector<IssuerIncarnation> CompletelyReceived() const;

  /// Issuer incarnations of which `sender` sent handover parts.
  [[nodiscard]] std::vector<IssuerIncarnation> ReceivedFrom(HostId sender) const;

  /// Removes received ownership and notices once all ids of their incarnations have expired.
  void Expire(TimePoint now);

 private:
  struct ReceivedOwnership {
    HostId m_sender;
    std::set<std::uint32_t> m_initial_parts;
    bool m_complete = false;
    /// Issuer's clock minus own clock: the maximum over the parts, which comes from the part with the least delay.
    std::optional<Duration> m_clock_offset;
    TimePoint m_expires;
  };
  struct Notice {
    HostId m_successor;
    TimePoint m_expires;
  };
  struct MemberRecord {
    Incarnation m_incarnation;
    bool m_alive = true;
  };

  /// Forwards to the host, unless it is known to be dead or is this host.
  [[nodiscard]] OwnerRoute RouteIfAlive(HostId host) const;

  HostId m_self;
  Incarnation m_incarnation;
  std::map<IssuerIncarnation, ReceivedOwnership> m_received;
  std::map<IssuerIncarnation, Notice> m_notices;
  std::map<HostId, MemberRecord> m_members;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_OWNERSHIP_TABLE_H_
