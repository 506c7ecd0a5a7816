#ifndef FIGHATCH_MEMBERSHIP_MEMBERSHIP_IMPL_H_
#define FIGHATCH_MEMBERSHIP_MEMBERSHIP_IMPL_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fighatch/membership.h"
#include "membership/member_table.h"
#include "membership/update_queue.h"

namespace fighatch {

/// The implementation of `Membership`: probing is in failure_detector.cc, merging of updates in membership_impl.cc, and
/// the exchange of member lists in list_exchange.cc. "Local" members are those of the own data centre.
class Membership::Impl {
 public:
  Impl(const MembershipSettings& settings, Random random);

  [[nodiscard]] MembershipActions Tick(TimePoint now);
  [[nodiscard]] TimePoint NextDeadline() const;
  [[nodiscard]] Result<MembershipActions> Receive(TimePoint now, HostId sender, const Endpoint& source,
                                                  MessageType type, std::span<const std::byte> payload);
  [[nodiscard]] MembershipActions SetKeeperReady(TimePoint now, bool ready);
  [[nodiscard]] MembershipActions Leave(TimePoint now);

  [[nodiscard]] const Member& Self() const noexcept { return m_self; }
  [[nodiscard]] std::vector<Member> LiveMembersOf(DataCentreId data_centre) const;
  [[nodiscard]] std::vector<Member> AllMembers() const;
  [[nodiscard]] std::optional<Member> Find(HostId host) const;
  [[nodiscard]] std::optional<Member> CoordinatorOf(DataCentreId data_centre) const;
  [[nodiscard]] std::optional<TimePoint> LastHeardFrom(DataCentreId data_centre) const;
  [[nodiscard]] bool IsIsolated(TimePoint now, Duration silence) const { return now - m_last_message_at >= silence; }

 private:
  /// The probe of the current period.
  struct OutstandingProbe {
    std::uint32_t m_sequence_number = 0;
    HostId m_target;
    TimePoint m_retry_at;
    int m_retries_left = 0;
    bool m_answered = false;
  };
  /// A probe sent on behalf of another member, which is waiting for the answer.
  struct RelayedProbe {
    std::uint32_t m_requester_sequence_number = 0;
    HostId m_requester;
    Endpoint m_requester_endpoint;
    TimePoint m_expires_at;
  };

  // Time, and the results of a call.
  /// Sets the current time; a long gap since the last tick counts as a pause of this process.
  void AdvanceTo(TimePoint now, bool is_tick);
  void CompensateForPause(Duration pause);
  /// Pushes due changes, and returns the messages and events collected since the last call.
  [[nodiscard]] MembershipActions TakeActions();
  void EmitEvent(MembershipEventKind kind, const Member& member);
  void EmitCoordinatorChange();

  // Merging of updates.
  void ApplyPiggyback(const membership::Piggyback& piggyback);
  void ApplyUpdate(membership::MemberUpdate update);
  void ApplyUpdateAboutSelf(const membership::MemberUpdate& update);
  void EmitMemberChange(const std::optional<Member>& before, const Member& after);
  /// Queues the present state of a member for sending, and a push if it is local.
  void Disseminate(HostId host);
  void MarkListChanged(HostId host, DataCentreId data_centre);
  void DowngradeDeathToSuspicion(membership::MemberUpdate* update) const;
  [[nodiscard]] membership::MemberUpdate SelfUpdate() const;
  /// The update to send about a member; none if it is unknown or its state is unconfirmed.
  [[nodiscard]] std::optional<membership::MemberUpdate> UpdateFor(HostId host) const;
  [[nodiscard]] membership::Piggyback MakePiggyback(HostId receiver, std::size_t max_updates);
  [[nodiscard]] std::vector<membership::ListDigest> Digests() const;
  [[nodiscard]] std::uint64_t DigestOf(DataCentreId data_centre) const;

  // Probing.
  void EndPeriod();
  void StartProbe();
  void RetryProbe();
  void ExpireSuspicions();
  void Suspect(HostId host);
  void ProbeSeedsAndDeadMembers();
  void ProbeUnknownSeed();
  void ProbeDeadMember();
  void SendProbe(const Endpoint& destination, HostId receiver, std::uint32_t sequence_number);
  [[nodiscard]] std::optional<Member> NextOnRing() const;
  [[nodiscard]] std::optional<Member> NextInRandomOrder();
  [[nodiscard]] std::vector<Member> RandomPeers(std::size_t count, HostId except);
  void OnProbe(HostId sender, const Endpoint& source, const membership::ProbeMessage& message);
  void OnProbeAck(const membership::ProbeAckMessage& message);
  void OnProbeRequest(HostId sender, const Endpoint& source, const membership::ProbeRequestMessage& message);
  void OnMemberList(HostId sender, const Endpoint& source, const membership::MemberListMessage& message);
  void OnMessageReceived(HostId sender);
  /// The number of live local members besides this one.
  [[nodiscard]] std::size_t LiveLocalPeerCount() const;
  void OnLocalMessageReceived();
  /// True if a failed probe is more likely due to this host's own connectivity than to the probed member.
  [[nodiscard]] bool IsLikelyDisconnected() const;

  // Lists.
  void PushChanges();
  void SendMemberList(const Endpoint& destination, HostId receiver, DataCentreId data_centre, bool include_ended);
  void SendMessage(const Endpoint& destination, HostId receiver, MessageType type, std::vector<std::byte> payload);
  void CompareDigests(HostId sender, const Endpoint& source, const std::vector<membership::ListDigest>& digests);
  void RequestMemberList(HostId receiver, const Endpoint& destination, DataCentreId data_centre);
  void SendToOtherDataCentres(bool include_digest);
  /// True if this member exchanges messages with the other data centres: the coordinator, or the live local member with
  /// the lowest host id where no balancer is live.
  [[nodiscard]] bool IsDataCentreRepresentative() const;
  [[nodiscard]] std::vector<DataCentreId> OtherDataCentres() const;
  /// The member of another data centre to send the next message to.
  [[nodiscard]] std::optional<Member> RemotePeer(DataCentreId data_centre);
  /// A random one of the endpoints that belong to no live member.
  [[nodiscard]] std::optional<Endpoint> RandomUnknownEndpoint(const std::vector<Endpoint>& endpoints);

  MembershipSettings m_settings;
  Random m_random;
  Member m_self;
  std::uint32_t m_revision = 1;

  membership::MemberTable m_table;
  membership::UpdateQueue m_queue;
  std::set<HostId> m_suspects;
  /// Local members whose changes go into the next message to the other data centres.
  std::set<HostId> m_remote_update_pending;
  std::optional<Member> m_coordinator;
  bool m_is_table_changed = true;
  bool m_is_superseded = false;

  TimePoint m_now;
  bool m_is_started = false;
  TimePoint m_last_tick;
  TimePoint m_last_message_at;
  /// The same for messages from local members and from unknown senders.
  TimePoint m_last_local_message_at;
  TimePoint m_period_ends_at;
  std::uint64_t m_period_count = 0;
  std::uint32_t m_next_sequence_number = 1;
  std::optional<OutstandingProbe> m_probe;
  std::map<std::uint32_t, RelayedProbe> m_relayed_probes;
  std::vector<HostId> m_probe_order;

  /// Changes that were queued but not yet pushed.
  std::size_t m_unpushed_count = 0;
  std::size_t m_consecutive_equal_digests = 0;
  TimePoint m_next_push_at;
  /// Token bucket that limits the datagrams of whole lists.
  double m_list_tokens = 0;
  TimePoint m_list_tokens_updated_at;
  std::map<DataCentreId, TimePoint> m_list_changed_at;
  std::map<DataCentreId, TimePoint> m_list_requested_at;
  std::map<DataCentreId, TimePoint> m_last_message_from;

  MembershipActions m_actions;
};

}  // namespace fighatch

#endif  // FIGHATCH_MEMBERSHIP_MEMBERSHIP_IMPL_H_
