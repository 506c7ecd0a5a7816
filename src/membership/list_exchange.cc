#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "membership/membership_impl.h"

namespace fighatch {

using membership::IsLive;
using membership::MemberListMessage;
using membership::MemberUpdate;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kPushFanout = 3;
constexpr std::size_t kUpdatesPerPush = 14;
constexpr Duration kPushInterval = milliseconds(20);
/// A differing digest means that an update was lost only if the own list has not changed for this long; before that,
/// updates may still be in transit.
constexpr Duration kDigestSettleTime = milliseconds(1000);
constexpr Duration kListRequestInterval = milliseconds(2000);
/// If another data centre has been silent for this long, messages go to a random live member of it instead of its
/// coordinator.
constexpr Duration kRemoteSilenceTimeout = std::chrono::seconds(2);
/// Consecutive probes with equal digests after which all queued updates count as known. This saves most of the repeated
/// sends that follow the start of many members at once.
constexpr std::size_t kEqualDigestsUntilClear = 8;
/// Rate and burst size of the token bucket for datagrams of whole lists.
constexpr double kListDatagramsPerSecond = 200;
constexpr double kListDatagramBurst = 200;

}  // namespace

Result<MembershipActions> Membership::Impl::Receive(TimePoint now, HostId sender, const Endpoint& source,
                                                    MessageType type, std::span<const std::byte> payload) {
  const auto decode_and_handle = [&](auto message, auto handle) -> Result<MembershipActions> {
    if (!IsOk(message)) return ErrorOf(message);
    AdvanceTo(now, false);
    OnMessageReceived(sender);
    handle(ValueOf(message));
    return TakeActions();
  };
  if (type == MessageType::kProbe)
    return decode_and_handle(membership::DecodeProbe(payload),
                             [&](const auto& message) { OnProbe(sender, source, message); });
  if (type == MessageType::kProbeAck)
    return decode_and_handle(membership::DecodeProbeAck(payload), [&](const auto& message) { OnProbeAck(message); });
  if (type == MessageType::kProbeRequest)
    return decode_and_handle(membership::DecodeProbeRequest(payload),
                             [&](const auto& message) { OnProbeRequest(sender, source, message); });
  if (type == MessageType::kMemberList)
    return decode_and_handle(membership::DecodeMemberList(payload),
                             [&](const auto& message) { OnMemberList(sender, source, message); });
  return MakeError(ErrorCode::kMessageUnknownType, std::string(MessageTypeText(type)));
}

void Membership::Impl::SendMessage(const Endpoint& destination, HostId receiver, MessageType type,
                                   std::vector<std::byte> payload) {
  m_actions.m_messages.push_back({destination, receiver, type, std::move(payload)});
}

void Membership::Impl::PushChanges() {
  m_next_push_at = m_now + kPushInterval;
  const std::size_t count = std::min(m_unpushed_count, kUpdatesPerPush);
  m_unpushed_count -= count;
  const std::vector<Member> peers = RandomPeers(kPushFanout, m_self.m_host);
  if (peers.empty()) return;
  MemberListMessage message{m_self.m_data_centre, {}, {{}, {}}};
  for (const HostId host : m_queue.Take(count, m_table.Records().size())) {
    if (const auto update = UpdateFor(host)) message.m_piggyback.m_updates.push_back(*update);
  }
  if (message.m_piggyback.m_updates.empty()) return;
  for (const Member& peer : peers)
    SendMessage(peer.m_control_endpoint, peer.m_host, MessageType::kMemberList, membership::Encode(message));
}

void Membership::Impl::SendMemberList(const Endpoint& destination, HostId receiver, DataCentreId data_centre,
                                      bool include_ended) {
  const std::chrono::duration<double> elapsed = m_now - std::exchange(m_list_tokens_updated_at, m_now);
  m_list_tokens = std::min(kListDatagramBurst, m_list_tokens + elapsed.count() * kListDatagramsPerSecond +
                                                   (m_period_count == 0 ? kListDatagramBurst : 0));
  std::vector<MemberUpdate> updates;
  if (data_centre == m_self.m_data_centre) updates.push_back(SelfUpdate());
  for (const auto& [host, record] : m_table.Records()) {
    if (record.Get().m_data_centre != data_centre || record.m_is_unconfirmed) continue;
    if (IsLive(record.Get().m_state) || include_ended) updates.push_back(*UpdateFor(host));
  }
  // The token bucket may cut a list short. It starts at a random member each time, so that repeated requests yield all
  // of it.
  if (!updates.empty())
    std::rotate(updates.begin(), updates.begin() + static_cast<std::ptrdiff_t>(m_random.Below(updates.size())),
                updates.end());
  for (std::size_t start = 0; start < updates.size(); start += membership::kMaxUpdatesPerMessage) {
    if (m_list_tokens < 1) return;
    m_list_tokens -= 1;
    const std::size_t end = std::min(updates.size(), start + membership::kMaxUpdatesPerMessage);
    MemberListMessage message{m_self.m_data_centre, {}, {}};
    message.m_piggyback.m_updates.assign(updates.begin() + static_cast<std::ptrdiff_t>(start),
                                         updates.begin() + static_cast<std::ptrdiff_t>(end));
    SendMessage(destination, receiver, MessageType::kMemberList, membership::Encode(message));
  }
}

void Membership::Impl::CompareDigests(HostId sender, const Endpoint& source,
                                      const std::vector<membership::ListDigest>& digests) {
  bool all_equal = true;
  for (const membership::ListDigest& digest : digests) {
    if (digest.m_digest == DigestOf(digest.m_data_centre)) continue;
    all_equal = false;
    const bool is_settled = m_now - m_list_changed_at[digest.m_data_centre] >= kDigestSettleTime;
    const bool is_unknown_sender = m_table.Find(sender) == nullptr && digest.m_data_centre == m_self.m_data_centre;
    if (is_settled || is_unknown_sender) RequestMemberList(sender, source, digest.m_data_centre);
  }
  m_consecutive_equal_digests = all_equal ? m_consecutive_equal_digests + 1 : 0;
  // Digests do not cover suspicions, so queued updates are kept while any member is suspected.
  if (m_consecutive_equal_digests >= kEqualDigestsUntilClear && m_suspects.empty()) m_queue.Clear();
}

void Membership::Impl::RequestMemberList(HostId receiver, const Endpoint& destination, DataCentreId data_centre) {
  const auto last_request = m_list_requested_at.find(data_centre);
  if (last_request != m_list_requested_at.end() && m_now - last_request->second < kListRequestInterval) return;
  m_list_requested_at[data_centre] = m_now;
  const MemberListMessage message{m_self.m_data_centre, {data_centre}, {}};
  SendMessage(destination, receiver, MessageType::kMemberList, membership::Encode(message));
}

void Membership::Impl::OnMemberList(HostId sender, const Endpoint& source, const MemberListMessage& message) {
  ApplyPiggyback(message.m_piggyback);
  const bool is_remote = message.m_sender_data_centre != m_self.m_data_centre;
  if (is_remote) m_last_message_from[message.m_sender_data_centre] = m_now;
  // Members of one data centre detect deaths among themselves by probing. Only lists that cross data centres, or
  // describe another one, must include members that have ended.
  for (const DataCentreId wanted : message.m_requested_lists)
    SendMemberList(source, sender, wanted, is_remote || wanted != m_self.m_data_centre);
  if (!is_remote) return;
  for (const membership::ListDigest& digest : message.m_piggyback.m_digests) {
    const bool differs = digest.m_digest != DigestOf(digest.m_data_centre);
    // Each side requests only the list of the sender's data centre: each data centre is authoritative for its own list.
    if (differs && digest.m_data_centre == message.m_sender_data_centre)
      RequestMemberList(sender, source, digest.m_data_centre);
  }
}

bool Membership::Impl::IsDataCentreRepresentative() const {
  if (const auto coordinator = CoordinatorOf(m_self.m_data_centre)) return coordinator->m_host == m_self.m_host;
  const std::vector<Member> live = LiveMembersOf(m_self.m_data_centre);
  return !live.empty() && live.front().m_host == m_self.m_host;
}

std::vector<DataCentreId> Membership::Impl::OtherDataCentres() const {
  std::set<DataCentreId> others;
  for (const auto& [host, record] : m_table.Records()) {
    if (record.Get().m_data_centre != m_self.m_data_centre) others.insert(record.Get().m_data_centre);
  }
  return {others.begin(), others.end()};
}

std::optional<Member> Membership::Impl::RemotePeer(DataCentreId data_centre) {
  const auto last_message_at = LastHeardFrom(data_centre);
  if (last_message_at && m_now - *last_message_at < kRemoteSilenceTimeout) {
    if (auto coordinator = CoordinatorOf(data_centre)) return coordinator;
  }
  // The coordinator there may have ended without this data centre having learned of it.
  const std::vector<Member> live = LiveMembersOf(data_centre);
  if (live.empty()) return std::nullopt;
  return live[m_random.Below(live.size())];
}

std::optional<Endpoint> Membership::Impl::RandomUnknownEndpoint(const std::vector<Endpoint>& endpoints) {
  std::set<Endpoint> known = {m_self.m_control_endpoint};
  for (const auto& [host, record] : m_table.Records()) {
    if (IsLive(record.Get().m_state)) known.insert(record.Get().m_control_endpoint);
  }
  std::vector<Endpoint> unknown;
  std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(unknown),
               [&known](const Endpoint& endpoint) { return !known.contains(endpoint); });
  if (unknown.empty()) return std::nullopt;
  return unknown[m_random.Below(unknown.size())];
}

void Membership::Impl::SendToOtherDataCentres(bool include_digest) {
  const std::set<HostId> changed_hosts = std::exchange(m_remote_update_pending, {});
  if ((changed_hosts.empty() && !include_digest) || !IsDataCentreRepresentative()) return;
  MemberListMessage message{m_self.m_data_centre, {}, {}};
  if (include_digest) message.m_piggyback.m_digests = {{m_self.m_data_centre, DigestOf(m_self.m_data_centre)}};
  for (const HostId host : changed_hosts) {
    // The receiver finds the remaining changes by comparing digests and requests the list.
    if (message.m_piggyback.m_updates.size() >= membership::kMaxUpdatesPerMessage) break;
    if (const auto update = UpdateFor(host)) message.m_piggyback.m_updates.push_back(*update);
  }
  const std::vector<std::byte> payload = membership::Encode(message);
  for (const DataCentreId other : OtherDataCentres()) {
    if (const auto target = RemotePeer(other))
      SendMessage(target->m_control_endpoint, target->m_host, MessageType::kMemberList, payload);
  }
  const std::optional<Endpoint> remote_seed =
      include_digest ? RandomUnknownEndpoint(m_settings.m_remote_seeds) : std::nullopt;
  if (remote_seed) SendMessage(*remote_seed, HostId{}, MessageType::kMemberList, payload);
}

}  // namespace fighatch
