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

/// What has changed about a member.
enum class MembershipEventKind : std::uint8_t {
  kJoined = 0,
  kSuspected = 1,
  kRefuted = 2,
  kDied = 3,
  kLeft = 4,
  /// A later start replaced one that was not known to have ended.
  kRestarted = 5,
  /// Endpoints or `m_keeper_ready` changed.
  kChanged = 6,
  /// The data centre has another coordinator; host 0 if it has none.
  kCoordinatorChanged = 7,
  /// Another process claims this host id with a higher incarnation.
  kSuperseded = 8,
};

/// "joined", "suspected" and so on.
[[nodiscard]] std::string_view MembershipEventName(MembershipEventKind kind) noexcept;

struct MembershipEvent {
  MembershipEventKind m_kind = MembershipEventKind::kJoined;
  Member m_member;
};

/// What the shell has to do after a call.
struct MembershipActions {
  std::vector<OutgoingMessage> m_messages;
  std::vector<MembershipEvent> m_events;
};

/// How membership is set up.
struct MembershipSettings {
  Member m_self;
  /// Control endpoints of hosts of the own data centre through which to join.
  std::vector<Endpoint> m_seeds;
  /// Control endpoints of hosts of the other data centres of the region.
  std::vector<Endpoint> m_remote_seeds;
  Duration m_probe_period = std::chrono::milliseconds(200);
  Duration m_suspicion_timeout = std::chrono::seconds(1);
  /// Dead members are probed in this time, so that partitions of that length heal without seeds.
  Duration m_ended_member_retention = std::chrono::hours(6);
};

/// Failure detection and member lists in the style of SWIM, without sockets and clocks.
///
/// In each period a member probes one other: in turn the next one on a hash ring, so that every member is probed at
/// least every second period, and one in random order. Without an answer the probe is repeated directly and through
/// three others, twice; then the member is suspected, and declared dead after the suspicion time unless it refutes with
/// a higher revision. A suspicion carries its age, so that all members declare the death at the same moment. Changes
/// are sent at once to three members, and ride on a bounded number of probes and answers. The coordinators of data
/// centres exchange changes of their lists. Digests of the lists in each probe repair whatever was lost.
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

  /// True for the message types that `Receive` takes.
  [[nodiscard]] static bool Handles(MessageType type) noexcept;

  /// Does what is due at `now`.
  [[nodiscard]] MembershipActions Tick(TimePoint now);

  /// When `Tick` has something to do next; an earlier or later call does no harm.
  [[nodiscard]] TimePoint NextDeadline() const;

  /// Takes a message from an authenticated sender. Errors: `kMessageMalformed`, which changes nothing.
  [[nodiscard]] Result<MembershipActions> Receive(TimePoint now, HostId sender, const Endpoint& source,
                                                  MessageType type, std::span<const std::byte> payload);

  /// Announces whether this member may be a keeper.
  [[nodiscard]] MembershipActions SetKeeperReady(TimePoint now, bool ready);

  /// Announces that this member leaves as planned. Keep calling `Tick` for about a second, then stop.
  [[nodiscard]] MembershipActions Leave(TimePoint now);

  /// This member.
  [[nodiscard]] const Member& Self() const noexcept;

  /// Members of the own data centre that are alive or suspected, with this one, by ascending host id.
  [[nodiscard]] std::vector<Member> LiveMembers() const;

  /// The same for a data centre of the region, from its coordinator's reports.
  [[nodiscard]] std::vector<Member> LiveMembersOf(DataCentreId data_centre) const;

  /// All that is known, also dead members.
  [[nodiscard]] std::vector<Member> AllMembers() const;

  /// The member, if it is known.
  [[nodiscard]] std::optional<Member> Find(HostId host) const;

  /// The live balancer with the lowest host id of the own data centre.
  [[nodiscard]] std::optional<Member> Coordinator() const;

  /// The live balancer with the lowest host id of any data centre of the region.
  [[nodiscard]] std::optional<Member> CoordinatorOf(DataCentreId data_centre) const;

  /// When a message came last from another data centre. Only coordinators receive such messages regularly.
  [[nodiscard]] std::optional<TimePoint> LastHeardFrom(DataCentreId data_centre) const;

  /// True if no message came from any member for the time given.
  [[nodiscard]] bool IsIsolated(TimePoint now, Duration silence) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch

#endif  // FIGHATCH_MEMBERSHIP_H_
