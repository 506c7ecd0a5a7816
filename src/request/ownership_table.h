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

/// Names an issuer incarnation.
using IssuerIncarnation = std::pair<HostId, Incarnation>;

/// Who may dispatch for an id.
struct OwnerRoute {
  enum class Kind : std::uint8_t { kLocal = 0, kForward = 1, kNobody = 2 };
  Kind m_kind = Kind::kNobody;
  /// Set for `kForward`.
  HostId m_host;
};

/// Which host may dispatch for which issuer incarnation.
class OwnershipTable {
 public:
  OwnershipTable(HostId self, Incarnation incarnation) noexcept : m_self(self), m_incarnation(incarnation) {}

  [[nodiscard]] OwnerRoute Find(const RequestId& id) const;

  /// The issuer's clock; for a duty taken over it is an estimate that is never early.
  [[nodiscard]] TimePoint IssuerClock(const IssuerIncarnation& issuer, TimePoint now) const;

  void OnMemberAlive(HostId host, Incarnation incarnation);
  void OnMemberDied(HostId host, Incarnation incarnation);
  void OnNotice(const SuccessorNotice& notice, TimePoint now);

  /// Whether a part of a handover comes from the one sender that may hand over this duty, and not for our own.
  [[nodiscard]] bool AcceptsHandover(const Handover& part) const;

  /// Whether any part for this duty was taken before.
  [[nodiscard]] bool HasPartsOf(const IssuerIncarnation& issuer) const { return m_received.contains(issuer); }

  /// Records a part whose entries are in the journal. True if it makes the duty complete.
  bool RecordPart(const Handover& part, TimePoint now);

  /// Duties taken over completely.
  [[nodiscard]] std::vector<IssuerIncarnation> CompletelyReceived() const;

  /// Duties whose sender is this host.
  [[nodiscard]] std::vector<IssuerIncarnation> ReceivedFrom(HostId sender) const;

  /// Forgets duties and notices after all ids of their incarnations have ended.
  void Expire(TimePoint now);

 private:
  struct ReceivedOwnership {
    HostId m_sender;
    std::set<std::uint32_t> m_initial_parts;
    bool m_complete = false;
    /// Issuer's clock minus own clock; the greatest seen, which is that of the part with the least delay.
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

  [[nodiscard]] OwnerRoute RouteIfAlive(HostId host) const;

  HostId m_self;
  Incarnation m_incarnation;
  std::map<IssuerIncarnation, ReceivedOwnership> m_received;
  std::map<IssuerIncarnation, Notice> m_notices;
  std::map<HostId, MemberRecord> m_members;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_OWNERSHIP_TABLE_H_
