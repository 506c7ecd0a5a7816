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

/// Three round trips inside a data centre with delays of the scheduler; the rest of the period is for two retries.
constexpr Duration kAnswerTime = milliseconds(65);
constexpr int kRetries = 2;
constexpr std::size_t kIndirectProbes = 3;
constexpr Duration kRelayTime = milliseconds(500);
constexpr std::size_t kMaxRelays = 512;
constexpr std::size_t kUpdatesPerProbe = 6;
constexpr std::uint64_t kPeriodsPerDeadProbe = 5;
constexpr std::uint64_t kPeriodsPerSeedProbe = 10;
constexpr std::uint64_t kPeriodsPerForget = 300;
constexpr std::uint64_t kPeriodsPerBridgeDigest = 5;
/// Silence of all others after which a failed probe says more about this host than about its target.
constexpr int kSilentPeriods = 3;
/// Silence of the own data centre, while others are heard, after which unconfirmed deaths are told.
constexpr Duration kConfirmAfter = std::chrono::seconds(3);
constexpr std::uint64_t kRingSeed = 0x52494E47;

std::uint64_t RingPlace(HostId host) noexcept { return MixHash(host.m_value, kRingSeed); }

}  // namespace

MembershipActions Membership::Impl::Tick(TimePoint now) {
  AdvanceTo(now, true);
  ExpireSuspicions();
  if (m_probe && !m_probe->m_answered && m_probe->m_retries_left > 0 && m_now >= m_probe->m_retry_at) RetryProbe();
  if (m_now >= m_period_end) EndPeriod();
  return Finish();
}

TimePoint Membership::Impl::NextDeadline() const {
  TimePoint next = m_period_end;
  if (m_probe && !m_probe->m_answered && m_probe->m_retries_left > 0) next = std::min(next, m_probe->m_retry_at);
  if (m_unpushed > 0) next = std::min(next, m_next_push);
  for (const HostId host : m_suspects) {
    const MemberRecord* record = m_table.Find(host);
    if (record != nullptr) next = std::min(next, record->m_since + m_settings.m_suspicion);
  }
  return next;
}

void Membership::Impl::EndPeriod() {
  if (m_probe && !m_probe->m_answered) Suspect(m_probe->m_target);
  m_probe.reset();
  m_period_end = std::max(m_period_end + m_settings.m_probe_period, m_now);
  ++m_period;
  std::erase_if(m_relays, [this](const auto& entry) { return entry.second.m_expires <= m_now; });
  if (m_self.m_state == MemberState::kLeft) return;
  StartProbe();
  ProbeOthers();
  BridgeDataCentres(m_period % kPeriodsPerBridgeDigest == 0);
  if (m_period % kPeriodsPerForget == 0) m_table.Forget(m_now - m_settings.m_forget_after);
}

void Membership::Impl::StartProbe() {
  std::optional<Member> target = m_period % 2 == 0 ? NextOnRing() : NextInRandomOrder();
  if (!target) return;
  m_probe = OutstandingProbe{m_next_number++, target->m_host, m_now + kAnswerTime, kRetries, false};
  SendProbe(target->m_control_endpoint, target->m_host, m_probe->m_number);
}

void Membership::Impl::RetryProbe() {
  --m_probe->m_retries_left;
  m_probe->m_retry_at = m_now + kAnswerTime;
  const std::optional<Member> target = Find(m_probe->m_target);
  if (!target) return;
  SendProbe(target->m_control_endpoint, target->m_host, m_probe->m_number);
  for (const Member& relay : RandomPeers(kIndirectProbes, target->m_host)) {
    const membership::ProbeRequestMessage request{m_probe->m_number, target->m_host, target->m_control_endpoint,
                                                  MakePiggyback(relay.m_host, kUpdatesPerProbe)};
    SendMessage(relay.m_control_endpoint, relay.m_host, MessageType::kProbeRequest, membership::Encode(request));
  }
}

void Membership::Impl::SendProbe(const Endpoint& destination, HostId receiver, std::uint32_t number) {
  const bool is_joining = LiveOthers() == 0;
  const membership::ProbeMessage probe{number, is_joining, MakePiggyback(receiver, kUpdatesPerProbe)};
  SendMessage(destination, receiver, MessageType::kProbe, membership::Encode(probe));
}

std::optional<Member> Membership::Impl::NextOnRing() const {
  const std::uint64_t own = RingPlace(m_self.m_host);
  const Member* next = nullptr;
  std::uint64_t least = std::numeric_limits<std::uint64_t>::max();
  for (const auto& [host, record] : m_table.Records()) {
    const Member& member = record.Get();
    if (member.m_data_centre != m_self.m_data_centre || member.m_state != MemberState::kAlive) continue;
    const std::uint64_t distance = RingPlace(host) - own;
    if (distance >= least) continue;
    least = distance;
    next = &member;
  }
  return next != nullptr ? std::optional(*next) : std::nullopt;
}

std::optional<Member> Membership::Impl::NextInRandomOrder() {
  for (int round = 0; round < 2; ++round) {
    while (!m_order.empty()) {
      const MemberRecord* record = m_table.Find(m_order.back());
      m_order.pop_back();
      if (record != nullptr && IsLive(record->Get().m_state)) return record->Get();
    }
    for (const auto& [host, record] : m_table.Records()) {
      if (record.Get().m_data_centre == m_self.m_data_centre && IsLive(record.Get().m_state)) m_order.push_back(host);
    }
    std::shuffle(m_order.begin(), m_order.end(), m_random);
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

void Membership::Impl::ProbeOthers() {
  const bool is_alone = LiveOthers() == 0;
  if (is_alone || m_period % kPeriodsPerSeedProbe == 0) ProbeSeed();
  if (m_period % kPeriodsPerDeadProbe == 0) ProbeDeadMember();
}

void Membership::Impl::ProbeSeed() {
  // Probes of seeds join groups that started apart, also long after the start.
  if (const auto seed = UnknownEndpoint(m_settings.m_seeds)) SendProbe(*seed, HostId{}, 0);
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
  const bool is_unconfirmed = IsDoubtful();
  m_table.SetState(host, MemberState::kSuspect, m_now, is_unconfirmed);
  Emit(MembershipEventKind::kSuspected, record->Get());
  Spread(host);
}

void Membership::Impl::ExpireSuspicions() {
  const std::set<HostId> suspects = m_suspects;
  for (const HostId host : suspects) {
    const MemberRecord* record = m_table.Find(host);
    if (record == nullptr || m_now < record->m_since + m_settings.m_suspicion) continue;
    const bool is_unconfirmed = record->m_unconfirmed || IsIsolated(m_now, kSilentPeriods * m_settings.m_probe_period);
    m_table.SetState(host, MemberState::kDead, m_now, is_unconfirmed);
    Emit(MembershipEventKind::kDied, record->Get());
    // Others end the same suspicion at the same moment, so the death needs no push of its own.
    m_queue.Add(host);
    NoteChanged(host, record->Get().m_data_centre);
  }
}

std::size_t Membership::Impl::LiveOthers() const {
  return static_cast<std::size_t>(
      std::count_if(m_table.Records().begin(), m_table.Records().end(), [this](const auto& entry) {
        const Member& member = entry.second.Get();
        return member.m_data_centre == m_self.m_data_centre && IsLive(member.m_state);
      }));
}

bool Membership::Impl::IsDoubtful() const {
  // With one other member its silence is the only sign there can be.
  const bool has_witness = LiveOthers() > 1;
  return has_witness && m_now - m_last_heard_near >= kSilentPeriods * m_settings.m_probe_period;
}

void Membership::Impl::Heard(HostId sender) {
  m_last_heard = m_now;
  const MemberRecord* record = m_table.Find(sender);
  if (record != nullptr) m_heard_from[record->Get().m_data_centre] = m_now;
  if (record == nullptr || record->Get().m_data_centre == m_self.m_data_centre) return HeardNear();
  // Messages arrive from elsewhere while the own data centre stays silent: its members did end.
  if (m_now - m_last_heard_near < kConfirmAfter) return;
  for (const HostId host : m_table.ConfirmAll()) Spread(host);
}

void Membership::Impl::HeardNear() {
  m_last_heard_near = m_now;
  for (const HostId host : m_table.DropUnconfirmed()) {
    Emit(MembershipEventKind::kRefuted, m_table.Find(host)->Get());
    NoteChanged(host, m_table.Find(host)->Get().m_data_centre);
  }
}

void Membership::Impl::OnProbe(HostId sender, const Endpoint& source, const membership::ProbeMessage& message) {
  Apply(message.m_piggyback);
  const membership::ProbeAckMessage ack{message.m_number, MakePiggyback(sender, kUpdatesPerProbe)};
  SendMessage(source, sender, MessageType::kProbeAck, membership::Encode(ack));
  if (message.m_joining) {
    for (const auto& digest : Digests()) SendList(source, sender, digest.m_data_centre, false);
  }
  CompareDigests(sender, source, message.m_piggyback.m_digests);
}

void Membership::Impl::OnProbeAck(const membership::ProbeAckMessage& message) {
  Apply(message.m_piggyback);
  if (m_probe && m_probe->m_number == message.m_number) m_probe->m_answered = true;
  const auto relay = m_relays.find(message.m_number);
  if (relay == m_relays.end()) return;
  const Relay& request = relay->second;
  const membership::ProbeAckMessage ack{request.m_requested_number,
                                        MakePiggyback(request.m_requester, kUpdatesPerProbe)};
  SendMessage(request.m_requester_endpoint, request.m_requester, MessageType::kProbeAck, membership::Encode(ack));
  m_relays.erase(relay);
}

void Membership::Impl::OnProbeRequest(HostId sender, const Endpoint& source,
                                      const membership::ProbeRequestMessage& message) {
  Apply(message.m_piggyback);
  if (m_relays.size() >= kMaxRelays || m_self.m_state == MemberState::kLeft) return;
  const std::uint32_t number = m_next_number++;
  m_relays[number] = {message.m_number, sender, source, m_now + kRelayTime};
  SendProbe(message.m_target_endpoint, message.m_target, number);
}

}  // namespace fighatch
