#include <algorithm>
#include <limits>
#include <utility>

#include "fighatch/hash.h"
#include "membership/membership_impl.h"

namespace fighatch {

using membership::IsLive;
using membership::MemberRecord;

namespace {

using std::chrono::milliseconds;

/// Time for the answer to a probe: three round trips inside a data centre with scheduler delays. Two retries fit into
/// the rest of the probe period.
constexpr Duration kProbeTimeout = milliseconds(65);
constexpr int kProbeRetries = 2;
/// Members that are asked to relay each retry.
constexpr std::size_t kIndirectProbes = 3;
constexpr Duration kRelayTimeout = milliseconds(500);
constexpr std::size_t kMaxRelayedProbes = 512;
constexpr std::size_t kUpdatesPerProbe = 6;
constexpr std::uint64_t kPeriodsPerDeadMemberProbe = 5;
constexpr std::uint64_t kPeriodsPerSeedProbe = 10;
constexpr std::uint64_t kPeriodsPerPurge = 300;
constexpr std::uint64_t kPeriodsPerRemoteDigest = 5;
/// Probe periods of silence of the others after which a failed probe is attributed to this host rather than to its
/// target.
constexpr int kDisconnectedAfterPeriods = 3;
/// Silence of the own data centre, while other data centres are received, after which unconfirmed suspicions and deaths
/// are confirmed and disseminated.
constexpr Duration kConfirmDeathsAfter = std::chrono::seconds(3);
/// "RING" in ASCII.
constexpr std::uint64_t kRingSeed = 0x52494E47;

std::uint64_t RingPosition(HostId host) noexcept { return MixHash(host.m_value, kRingSeed); }

}  // namespace

MembershipActions Membership::Impl::Tick(TimePoint now) {
  AdvanceTo(now, true);
  ExpireSuspicions();
  if (m_probe && !m_probe->m_answered && m_probe->m_retries_left > 0 && m_now >= m_probe->m_retry_at) RetryProbe();
  if (m_now >= m_period_ends_at) EndPeriod();
  return TakeActions();
}

TimePoint Membership::Impl::NextDeadline() const {
  TimePoint next = m_period_ends_at;
  if (m_probe && !m_probe->m_answered && m_probe->m_retries_left > 0) next = std::min(next, m_probe->m_retry_at);
  if (m_unpushed_count > 0) next = std::min(next, m_next_push_at);
  for (const HostId host : m_suspects) {
    const MemberRecord* record = m_table.Find(host);
    if (record != nullptr) next = std::min(next, record->m_state_since + m_settings.m_suspicion_timeout);
  }
  return next;
}

void Membership::Impl::EndPeriod() {
  if (m_probe && !m_probe->m_answered) Suspect(m_probe->m_target);
  m_probe.reset();
  m_period_ends_at = std::max(m_period_ends_at + m_settings.m_probe_period, m_now);
  ++m_period_count;
  std::erase_if(m_relayed_probes, [this](const auto& entry) { return entry.second.m_expires_at <= m_now; });
  if (m_self.m_state == MemberState::kLeft) return;
  StartProbe();
  ProbeSeedsAndDeadMembers();
  SendToOtherDataCentres(m_period_count % kPeriodsPerRemoteDigest == 0);
  if (m_period_count % kPeriodsPerPurge == 0) m_table.RemoveEndedBefore(m_now - m_settings.m_ended_member_retention);
}

void Membership::Impl::StartProbe() {
  std::optional<Member> target = m_period_count % 2 == 0 ? NextOnRing() : NextInRandomOrder();
  if (!target) return;
  m_probe = OutstandingProbe{m_next_sequence_number++, target->m_host, m_now + kProbeTimeout, kProbeRetries, false};
  SendProbe(target->m_control_endpoint, target->m_host, m_probe->m_sequence_number);
}

void Membership::Impl::RetryProbe() {
  --m_probe->m_retries_left;
  m_probe->m_retry_at = m_now + kProbeTimeout;
  const std::optional<Member> target = Find(m_probe->m_target);
  if (!target) return;
  SendProbe(target->m_control_endpoint, target->m_host, m_probe->m_sequence_number);
  for (const Member& relay : RandomPeers(kIndirectProbes, target->m_host)) {
    const membership::ProbeRequestMessage request{m_probe->m_sequence_number, target->m_host,
                                                  target->m_control_endpoint,
                                                  MakePiggyback(relay.m_host, kUpdatesPerProbe)};
    SendMessage(relay.m_control_endpoint, relay.m_host, MessageType::kProbeRequest, membership::Encode(request));
  }
}

void Membership::Impl::SendProbe(const Endpoint& destination, HostId receiver, std::uint32_t sequence_number) {
  const bool is_joining = LiveLocalPeerCount() == 0;
  const membership::ProbeMessage probe{sequence_number, is_joining, MakePiggyback(receiver, kUpdatesPerProbe)};
  SendMessage(destination, receiver, MessageType::kProbe, membership::Encode(probe));
}

std::optional<Member> Membership::Impl::NextOnRing() const {
  const std::uint64_t own_position = RingPosition(m_self.m_host);
  const Member* next = nullptr;
  std::uint64_t shortest_distance = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [host, record] : m_table.Records()) {
    const Member& member = record.Get();
    if (member.m_data_centre != m_self.m_data_centre || member.m_state != MemberState::kAlive) continue;
    const std::uint64_t distance = RingPosition(host) - own_position;
    if (distance >= shortest_distance) continue;
    shortest_distance = distance;
    next = &member;
  }
  return next != nullptr ? std::optional(*next) : std::nullopt;
}

std::optional<Member> Membership::Impl::NextInRandomOrder() {
  for (int round = 0; round < 2; ++round) {
    while (!m_probe_order.empty()) {
      const MemberRecord* record = m_table.Find(m_probe_order.back());
      m_probe_order.pop_back();
      if (record != nullptr && IsLive(record->Get().m_state)) return record->Get();
    }
    for (const auto& [host, record] : m_table.Records()) {
      if (record.Get().m_data_centre == m_self.m_data_centre && IsLive(record.Get().m_state))
        m_probe_order.push_back(host);
    }
    std::shuffle(m_probe_order.begin(), m_probe_order.end(), m_random);
  }
  return std::nullopt;
}

std::vector<Member> Membership::Impl::RandomPeers(std::size_t count, HostId except) {
  std::vector<const Member*> peers;
  for (const auto& [host, record] : m_table.Records()) {
    const Member& member = record.Get();
    if (member.m_data_centre == m_self.m_data_centre && member.m_state == MemberState::kAlive && host != except)
      peers.push_back(&member);
  }
  std::vector<Member> chosen;
  while (chosen.size() < count && !peers.empty()) {
    const std::size_t index = m_random.Below(peers.size());
    chosen.push_back(*peers[index]);
    peers[index] = peers.back();
    peers.pop_back();
  }
  return chosen;
}

void Membership::Impl::ProbeSeedsAndDeadMembers() {
  const bool has_no_peer = LiveLocalPeerCount() == 0;
  if (has_no_peer || m_period_count % kPeriodsPerSeedProbe == 0) ProbeUnknownSeed();
  if (m_period_count % kPeriodsPerDeadMemberProbe == 0) ProbeDeadMember();
}

void Membership::Impl::ProbeUnknownSeed() {
  // Probing seeds also long after the start merges groups that formed around different seeds.
  if (const auto seed = RandomUnknownEndpoint(m_settings.m_seeds)) SendProbe(*seed, HostId{}, 0);
}

void Membership::Impl::ProbeDeadMember() {
  std::vector<const Member*> dead;
  for (const auto& [host, record] : m_table.Records()) {
    const Member& member = record.Get();
    if (member.m_data_centre == m_self.m_data_centre && member.m_state == MemberState::kDead) dead.push_back(&member);
  }
  if (dead.empty()) return;
  const Member member = *dead[m_random.Below(dead.size())];
  SendProbe(member.m_control_endpoint, member.m_host, 0);
}

void Membership::Impl::Suspect(HostId host) {
  const MemberRecord* record = m_table.Find(host);
  if (record == nullptr || record->Get().m_state != MemberState::kAlive) return;
  const bool is_unconfirmed = IsLikelyDisconnected();
  m_table.SetState(host, MemberState::kSuspect, m_now, is_unconfirmed);
  EmitEvent(MembershipEventKind::kSuspected, record->Get());
  Disseminate(host);
}

void Membership::Impl::ExpireSuspicions() {
  const std::set<HostId> suspects = m_suspects;
  for (const HostId host : suspects) {
    const MemberRecord* record = m_table.Find(host);
    if (record == nullptr || m_now < record->m_state_since + m_settings.m_suspicion_timeout) continue;
    const bool is_unconfirmed =
        record->m_is_unconfirmed || IsIsolated(m_now, kDisconnectedAfterPeriods * m_settings.m_probe_period);
    m_table.SetState(host, MemberState::kDead, m_now, is_unconfirmed);
    EmitEvent(MembershipEventKind::kDied, record->Get());
    // The suspicion expires at the same moment on all members, so the death is piggybacked but not pushed.
    m_queue.Add(host);
    MarkListChanged(host, record->Get().m_data_centre);
  }
}

std::size_t Membership::Impl::LiveLocalPeerCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_table.Records().begin(), m_table.Records().end(), [this](const auto& entry) {
        const Member& member = entry.second.Get();
        return member.m_data_centre == m_self.m_data_centre && IsLive(member.m_state);
      }));
}

bool Membership::Impl::IsLikelyDisconnected() const {
  // With a single peer, its silence is the only possible evidence of its failure, so it is attributed to the peer.
  const bool has_several_peers = LiveLocalPeerCount() > 1;
  return has_several_peers && m_now - m_last_local_message_at >= kDisconnectedAfterPeriods * m_settings.m_probe_period;
}

void Membership::Impl::OnMessageReceived(HostId sender) {
  m_last_message_at = m_now;
  const MemberRecord* record = m_table.Find(sender);
  if (record != nullptr) m_last_message_from[record->Get().m_data_centre] = m_now;
  if (record == nullptr || record->Get().m_data_centre == m_self.m_data_centre) return OnLocalMessageReceived();
  // Other data centres reach this host while its own stays silent, so the local members have really failed.
  if (m_now - m_last_local_message_at < kConfirmDeathsAfter) return;
  for (const HostId host : m_table.ConfirmAll()) Disseminate(host);
}

void Membership::Impl::OnLocalMessageReceived() {
  m_last_local_message_at = m_now;
  for (const HostId host : m_table.RevertUnconfirmed()) {
    EmitEvent(MembershipEventKind::kRefuted, m_table.Find(host)->Get());
    MarkListChanged(host, m_table.Find(host)->Get().m_data_centre);
  }
}

void Membership::Impl::OnProbe(HostId sender, const Endpoint& source, const membership::ProbeMessage& message) {
  ApplyPiggyback(message.m_piggyback);
  const membership::ProbeAckMessage ack{message.m_sequence_number, MakePiggyback(sender, kUpdatesPerProbe)};
  SendMessage(source, sender, MessageType::kProbeAck, membership::Encode(ack));
  if (message.m_is_joining) {
    for (const auto& digest : Digests()) SendMemberList(source, sender, digest.m_data_centre, false);
  }
  CompareDigests(sender, source, message.m_piggyback.m_digests);
}

void Membership::Impl::OnProbeAck(const membership::ProbeAckMessage& message) {
  ApplyPiggyback(message.m_piggyback);
  if (m_probe && m_probe->m_sequence_number == message.m_sequence_number) m_probe->m_answered = true;
  const auto relay = m_relayed_probes.find(message.m_sequence_number);
  if (relay == m_relayed_probes.end()) return;
  const RelayedProbe& request = relay->second;
  const membership::ProbeAckMessage ack{request.m_requester_sequence_number,
                                        MakePiggyback(request.m_requester, kUpdatesPerProbe)};
  SendMessage(request.m_requester_endpoint, request.m_requester, MessageType::kProbeAck, membership::Encode(ack));
  m_relayed_probes.erase(relay);
}

void Membership::Impl::OnProbeRequest(HostId sender, const Endpoint& source,
                                      const membership::ProbeRequestMessage& message) {
  ApplyPiggyback(message.m_piggyback);
  if (m_relayed_probes.size() >= kMaxRelayedProbes || m_self.m_state == MemberState::kLeft) return;
  const std::uint32_t sequence_number = m_next_sequence_number++;
  m_relayed_probes[sequence_number] = {message.m_sequence_number, sender, source, m_now + kRelayTimeout};
  SendProbe(message.m_target_endpoint, message.m_target, sequence_number);
}

}  // namespace fighatch
