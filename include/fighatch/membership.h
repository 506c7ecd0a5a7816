#ifndef FIGHATCH_MEMBERSHIP_H_
#define FIGHATCH_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "fighatch/member.h"
#include "fighatch/outgoing_message.h"
#include "fighatch/random.h"
#include "fighatch/result.h"
#include "fighatch/time.h"

namespace fighatch {

/// The kind of a change to the member lists.
enum class MembershipEventKind : std::uint8_t {
  kJoined = 0,
  kSuspected = 1,
  kRefuted = 2,
  kDied = 3,
  kLeft = 4,
  /// A newer incarnation replaced one that was listed as live.
  kRestarted = 5,
  /// Endpoints or `m_keeper_ready` changed.
  kChanged = 6,
  /// The own data centre has a new coordinator; the member has host 0 if there is none.
  kCoordinatorChanged = 7,
  /// Another process uses this member's host id with a higher incarnation.
  kSuperseded = 8,
};

/// "joined", "suspected" and so on.
[[nodiscard]] std::string_view MembershipEventName(MembershipEventKind kind) noexcept;

/// A change to the member lists and the member that it concerns, as it is after the change.
struct MembershipEvent {
  MembershipEventKind m_kind = MembershipEventKind::kJoined;
  Member m_member;
};

/// Results of a call: messages for the surrounding process to send and events for it to handle.
struct MembershipActions {
  std::vector<OutgoingMessage> m_messages;
  std::vector<MembershipEvent> m_events;
};

/// Settings of `Membership`.
struct MembershipSettings {
  Member m_self;
  /// Control endpoints of hosts of the own data centre that are probed in order to join.
  std::vector<Endpoint> m_seeds;
  /// Control endpoints of hosts of the other data centres of the region. Endpoints of live members are skipped, so the
  /// list may also name hosts of the own data centre.
  std::vector<Endpoint> m_remote_seeds;
  Duration m_probe_period = std::chrono::milliseconds(200);
  /// A suspected member that has not refuted within this time is declared dead.
  Duration m_suspicion_timeout = std::chrono::seconds(1);
  /// Dead and left members stay listed for this time. The dead are probed meanwhile, so that partitions of up to this
  /// length heal without seeds.
  Duration m_ended_member_retention = std::chrono::hours(6);
};

/// Failure detector and member lists of a daemon, in the style of the SWIM protocol. It uses no sockets and reads no
/// clock: time and messages are passed in, and messages to send and events are returned.
///
/// In each probe period a member probes one other member of its data centre: alternately its successor on a hash ring,
/// so that every member is probed at least every second period, and the next one of a random order. Without an answer
/// the probe is repeated twice, directly and through three others. Then the member is suspected, and it is declared
/// dead after the suspicion timeout unless it refutes with a higher revision. An update about a suspicion carries its
/// age, so that all members declare the death at the same moment.
///
/// A change is pushed to three members at once and then piggybacked on a bounded number of probes and answers. The
/// coordinators of data centres exchange the changes of their lists. Each probe carries digests of the lists; a lasting
/// difference makes the receiver request the whole list, which repairs lost updates.
///
/// \code
/// Membership membership(settings, Random(seed));
/// Run(membership.Tick(now));  // Again at NextDeadline().
/// if (Membership::Handles(type)) Run(membership.Receive(now, sender, source, type, payload));
/// \endcode
class Membership {
 public:
  Membership(const MembershipSettings& settings, Random random);
  ~Membership();
  Membership(Membership&& other) noexcept;
  Membership& operator=(Membership&& other) noexcept;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// True for the message types that `Receive` accepts.
  [[nodiscard]] static bool Handles(MessageType type) noexcept;

  /// Sends the probes and updates that are due at `now`, and declares deaths.
  [[nodiscard]] MembershipActions Tick(TimePoint now);

  /// When `Tick` has something to do next. Earlier and later calls are allowed.
  [[nodiscard]] TimePoint NextDeadline() const;

  /// Handles a message from an authenticated sender. Errors: `kMessageMalformed`, and `kMessageUnknownType` for a type
  /// that `Handles` rejects; both leave the state unchanged.
  [[nodiscard]] Result<MembershipActions> Receive(TimePoint now, HostId sender, const Endpoint& source,
                                                  MessageType type, std::span<const std::byte> payload);

  /// Sets whether this member may be a keeper of flows, and announces a change.
  [[nodiscard]] MembershipActions SetKeeperReady(TimePoint now, bool ready);

  /// Announces the planned leave of this member. Call `Tick` for about another second, then stop.
  [[nodiscard]] MembershipActions Leave(TimePoint now);

  /// This member.
  [[nodiscard]] const Member& Self() const noexcept;

  /// The live members (alive or suspected) of the own data centre, including this one unless it has left, by ascending
  /// host id.
  [[nodiscard]] std::vector<Member> LiveMembers() const;

  /// The same for any data centre of the region; other data centres report through their coordinators.
  [[nodiscard]] std::vector<Member> LiveMembersOf(DataCentreId data_centre) const;

  /// All known members of all data centres, including dead and left ones.
  [[nodiscard]] std::vector<Member> AllMembers() const;

  /// The member, if it is known.
  [[nodiscard]] std::optional<Member> Find(HostId host) const;

  /// The live balancer with the lowest host id of the own data centre.
  [[nodiscard]] std::optional<Member> Coordinator() const;

  /// The live balancer with the lowest host id of any data centre of the region.
  [[nodiscard]] std::optional<Member> CoordinatorOf(DataCentreId data_centre) const;

  /// When the last message from a data centre arrived. Only coordinators regularly receive messages from other ones.
  [[nodiscard]] std::optional<TimePoint> LastHeardFrom(DataCentreId data_centre) const;

  /// True if no message has arrived from any member for at least `silence`.
  [[nodiscard]] bool IsIsolated(TimePoint now, Duration silence) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch

#endif  // FIGHATCH_MEMBERSHIP_H_
