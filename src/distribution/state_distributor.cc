#include "fighatch/state_distributor.h"

#include <algorithm>
#include <map>
#include <utility>

#include "distribution/distribution_messages.h"
#include "fighatch/hash.h"

namespace fighatch {

using distribution::ChunkMessage;
using distribution::DigestMessage;
using distribution::ReportMessage;
using distribution::RequestMessage;

namespace {

using std::chrono::milliseconds;

constexpr Duration kHeartbeat = std::chrono::seconds(1);
/// A relay passes each heartbeat on when it arrives; its own timer only covers for heartbeats that do not arrive.
constexpr Duration kRelayHeartbeat = milliseconds(1500);
/// Confirmations closer together than this are not passed on.
constexpr Duration kForwardStep = milliseconds(500);
/// Repeats of a digest to children that have not reported the version; ended by the heartbeat.
constexpr Duration kRepeat = milliseconds(200);
constexpr int kRepeats = 4;
constexpr Duration kReportHeartbeat = std::chrono::seconds(2);
constexpr Duration kReportDelay = std::chrono::seconds(1);
/// Hosts are named once a version is this old; before that most of them are about to report.
constexpr Duration kNameAfter = std::chrono::seconds(1);
/// A child counts as behind if it has not reported for this long.
constexpr Duration kReportSilence = std::chrono::seconds(9);
/// Chunks for one request.
constexpr std::uint32_t kWindowChunks = 16;

}  // namespace

class StateDistributor::Impl {
 public:
  Impl(HostId self, StateHistory* history, bool is_origin) : m_self(self), m_history(history), m_is_origin(is_origin) {}

  void SetPlace(const TreePlace& place) {
    std::map<HostId, Child> children;
    for (const StatePeer& peer : place.m_children) {
      const auto known = m_children.find(peer.m_host);
      children[peer.m_host] = known != m_children.end() ? known->second : Child{};
      children[peer.m_host].m_peer = peer;
    }
    m_children = std::move(children);
    if (m_parent != place.m_parent) m_is_report_due = true;
    m_parent = place.m_parent;
  }

  void SetOrigin(bool is_origin) { m_is_origin = is_origin; }

  DistributorActions OnStateChanged(TimePoint now) {
    Start(now);
    const EncodedDelta* delta = m_pushed_version ? m_history->DeltaFrom(*m_pushed_version) : nullptr;
    const bool is_one_step = delta != nullptr && delta->m_to == m_history->CurrentVersion() &&
                             delta->m_content.size() <= distribution::kChunkBytes;
    for (const auto& [host, child] : m_children) {
      if (is_one_step && child.m_report.m_version == delta->m_from) {
        SendDelta(child.m_peer, *delta, 0, kWindowChunks);
      } else {
        SendDigest(child.m_peer);
      }
    }
    m_pushed_version = m_history->CurrentVersion();
    m_repeats_left = kRepeats;
    m_next_repeat = now + kRepeat;
    m_next_heartbeat = now + (m_is_origin ? kHeartbeat : kRelayHeartbeat);
    m_forwarded = m_history->ConfirmedAt().value_or(TimePoint{});
    m_changed_at = now;
    SendReport();
    return std::exchange(m_actions, {});
  }

  DistributorActions OnConfirmed(TimePoint now) {
    Start(now);
    const bool is_newer = m_history->ConfirmedAt() >= m_forwarded + kForwardStep;
    if (is_newer && !m_is_origin) Heartbeat();
    return std::exchange(m_actions, {});
  }

  DistributorActions Tick(TimePoint now) {
    Start(now);
    if (m_repeats_left > 0 && now >= m_next_repeat) Repeat();
    if (now >= m_next_heartbeat) Heartbeat();
    if (now >= ReportAt()) SendReport();
    return std::exchange(m_actions, {});
  }

  [[nodiscard]] TimePoint NextDeadline() const {
    TimePoint next = std::min(m_next_heartbeat, ReportAt());
    if (m_repeats_left > 0) next = std::min(next, m_next_repeat);
    return next;
  }

  Result<DistributorActions> Receive(TimePoint now, const StatePeer& sender, MessageType type,
                                     std::span<const std::byte> payload) {
    if (type == MessageType::kStateRequest) {
      Result<RequestMessage> message = distribution::DecodeRequest(payload);
      if (!IsOk(message)) return ErrorOf(message);
      Start(now);
      OnRequest(sender, ValueOf(message));
    } else {
      Result<ReportMessage> message = distribution::DecodeReport(payload);
      if (!IsOk(message)) return ErrorOf(message);
      Start(now);
      OnReport(sender, std::move(ValueOf(message)));
    }
    return std::exchange(m_actions, {});
  }

  [[nodiscard]] ReportMessage Summary(TimePoint now) const {
    ReportMessage sum{m_history->CurrentVersion(), 1, 0, {}};
    const auto name = [&sum, is_early = now - m_changed_at < kNameAfter](HostId host, Version version) {
      if (!is_early && sum.m_named.size() < distribution::kMaxNamedHosts) sum.m_named.push_back({host, version});
    };
    for (const auto& [host, child] : m_children) {
      const ReportMessage& report = child.m_report;
      sum.m_hosts += report.m_hosts;
      const bool is_silent = !child.m_reported_at || now - *child.m_reported_at > kReportSilence;
      const bool is_behind = report.m_version < sum.m_version;
      if (is_silent || is_behind) {
        sum.m_behind += report.m_hosts;
        name(host, report.m_version);
      } else {
        sum.m_behind += report.m_behind;
      }
      for (const distribution::NamedVersion& named : report.m_named) name(named.m_host, named.m_version);
    }
    return sum;
  }

 private:
  struct Child {
    StatePeer m_peer;
    ReportMessage m_report;
    std::optional<TimePoint> m_reported_at;
  };

  /// The snapshot that was sent last: a transfer that has begun goes on with it although the state has moved on, or no
  /// large transfer would end while changes go on.
  struct Served {
    ChunkMessage m_head;
    std::vector<std::byte> m_content;
  };

  void Start(TimePoint now) {
    m_now = now;
    if (m_is_started) return;
    m_is_started = true;
    m_pushed_version = m_history->CurrentVersion();
    m_next_heartbeat = now;
    m_last_report = now;
  }

  [[nodiscard]] std::uint32_t AgeMs() const {
    if (m_is_origin) return 0;
    const auto confirmed = m_history->ConfirmedAt();
    if (!confirmed) return distribution::kNeverMs;
    const auto age = std::chrono::duration_cast<milliseconds>(m_now - *confirmed).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, distribution::kNeverMs - 1));
  }

  void Send(const StatePeer& peer, MessageType type, std::vector<std::byte> payload) {
    m_actions.m_messages.push_back({peer.m_endpoint, peer.m_host, type, std::move(payload)});
  }

  void SendDigest(const StatePeer& peer) {
    const DigestMessage digest{m_history->CurrentVersion(), m_history->CurrentDigest(), AgeMs()};
    Send(peer, MessageType::kStateDigest, distribution::Encode(digest));
  }

  void Heartbeat() {
    m_next_heartbeat = m_now + (m_is_origin ? kHeartbeat : kRelayHeartbeat);
    m_forwarded = m_history->ConfirmedAt().value_or(TimePoint{});
    for (const auto& [host, child] : m_children) SendDigest(child.m_peer);
  }

  void Repeat() {
    --m_repeats_left;
    m_next_repeat = m_now + kRepeat;
    bool is_confirmed = true;
    for (const auto& [host, child] : m_children) {
      if (child.m_report.m_version >= m_history->CurrentVersion()) continue;
      is_confirmed = false;
      SendDigest(child.m_peer);
    }
    if (is_confirmed) m_repeats_left = 0;
  }

  [[nodiscard]] TimePoint ReportAt() const {
    if (!m_parent) return TimePoint::max();
    return m_last_report + (m_is_report_due ? kReportDelay : kReportHeartbeat);
  }

  void SendReport() {
    m_is_report_due = false;
    m_last_report = m_now;
    if (!m_parent) return;
    const ReportMessage summary = Summary(m_now);
    m_reported_behind = summary.m_behind;
    Send(*m_parent, MessageType::kStateReport, distribution::Encode(summary));
  }

  void OnReport(const StatePeer& sender, ReportMessage report) {
    if (report.m_version > m_history->CurrentVersion()) {
      m_actions.m_newer_peer = sender;
      m_actions.m_newer_version = report.m_version;
    }
    const auto child = m_children.find(sender.m_host);
    if (child == m_children.end()) return;
    const bool is_news = child->second.m_report.m_behind != report.m_behind ||
                         child->second.m_report.m_hosts != report.m_hosts ||
                         child->second.m_report.m_version != report.m_version;
    if (is_news) m_is_report_due = true;
    child->second.m_report = std::move(report);
    child->second.m_reported_at = m_now;
    // The end of a change is told at once, its course only now and then.
    if (is_news && m_reported_behind > 0 && Summary(m_now).m_behind == 0) SendReport();
  }

  void OnRequest(const StatePeer& sender, const RequestMessage& request) {
    SendDigest(sender);
    if (m_served && request.m_first_chunk > 0 && request.m_transfer == m_served->m_head.m_to)
      return ServeSnapshot(sender, request);
    if (request.m_have > m_history->CurrentVersion()) return;
    if (request.m_have == m_history->CurrentVersion() && !request.m_wants_snapshot) return;
    const EncodedDelta* delta = request.m_wants_snapshot ? nullptr : m_history->DeltaFrom(request.m_have);
    if (delta == nullptr) return SendSnapshot(sender, request);
    std::uint32_t first = request.m_transfer == delta->m_to ? request.m_first_chunk : 0;
    for (std::uint32_t budget = kWindowChunks; budget > 0 && delta != nullptr;) {
      budget -= std::min(budget, SendDelta(sender, *delta, first, budget));
      first = 0;
      delta = m_history->DeltaFrom(delta->m_to);
    }
  }

  std::uint32_t SendDelta(const StatePeer& peer, const EncodedDelta& delta, std::uint32_t first, std::uint32_t budget) {
    ChunkMessage head;
    head.m_from = delta.m_from;
    head.m_to = delta.m_to;
    head.m_state_digest = delta.m_digest;
    return SendChunks(peer, MessageType::kStateDelta, head, delta.m_content, first, budget);
  }

  void SendSnapshot(const StatePeer& peer, const RequestMessage& request) {
    if (!m_served || m_served->m_head.m_to != m_history->CurrentVersion()) {
      m_served = Served{{}, m_history->Snapshot()};
      m_served->m_head.m_to = m_history->CurrentVersion();
      m_served->m_head.m_state_digest = m_history->CurrentDigest();
    }
    ServeSnapshot(peer, request);
  }

  void ServeSnapshot(const StatePeer& peer, const RequestMessage& request) {
    const std::uint32_t first = request.m_transfer == m_served->m_head.m_to ? request.m_first_chunk : 0;
    SendChunks(peer, MessageType::kStateSnapshot, m_served->m_head, m_served->m_content, first, kWindowChunks);
  }

  std::uint32_t SendChunks(const StatePeer& peer, MessageType type, ChunkMessage head,
                           std::span<const std::byte> content, std::uint32_t first, std::uint32_t budget) {
    const std::size_t count =
        std::max<std::size_t>(1, (content.size() + distribution::kChunkBytes - 1) / distribution::kChunkBytes);
    if (count > distribution::kMaxChunks) return budget;
    head.m_content_hash = HashBytes(content);
    head.m_age_ms = AgeMs();
    head.m_count = static_cast<std::uint32_t>(count);
    std::uint32_t sent = 0;
    for (head.m_index = first; head.m_index < head.m_count && sent < budget; ++head.m_index, ++sent) {
      const std::size_t start = head.m_index * distribution::kChunkBytes;
      const auto part = content.subspan(start, std::min(distribution::kChunkBytes, content.size() - start));
      const auto* bytes = reinterpret_cast<const std::uint8_t*>(part.data());
      head.m_bytes.assign(bytes, bytes + part.size());
      Send(peer, type, distribution::Encode(head));
    }
    return std::max<std::uint32_t>(sent, 1);
  }

  HostId m_self;
  StateHistory* m_history;
  bool m_is_origin;
  bool m_is_started = false;
  TimePoint m_now;
  std::map<HostId, Child> m_children;
  std::optional<StatePeer> m_parent;
  std::optional<Version> m_pushed_version;
  std::optional<Served> m_served;
  int m_repeats_left = 0;
  TimePoint m_next_repeat;
  TimePoint m_next_heartbeat;
  /// The confirmation that was passed on last.
  TimePoint m_forwarded;
  TimePoint m_changed_at;
  TimePoint m_last_report;
  bool m_is_report_due = true;
  std::uint32_t m_reported_behind = 0;
  DistributorActions m_actions;
};

StateDistributor::StateDistributor(HostId self, StateHistory* history, bool is_origin)
    : m_impl(std::make_unique<Impl>(self, history, is_origin)) {}
StateDistributor::~StateDistributor() = default;
StateDistributor::StateDistributor(StateDistributor&& other) noexcept = default;
StateDistributor& StateDistributor::operator=(StateDistributor&& other) noexcept = default;

bool StateDistributor::Handles(MessageType type) noexcept {
  return type == MessageType::kStateRequest || type == MessageType::kStateReport;
}

void StateDistributor::SetPlace(const TreePlace& place) { m_impl->SetPlace(place); }
void StateDistributor::SetOrigin(bool is_origin) { m_impl->SetOrigin(is_origin); }
DistributorActions StateDistributor::OnStateChanged(TimePoint now) { return m_impl->OnStateChanged(now); }
DistributorActions StateDistributor::OnConfirmed(TimePoint now) { return m_impl->OnConfirmed(now); }
DistributorActions StateDistributor::Tick(TimePoint now) { return m_impl->Tick(now); }
TimePoint StateDistributor::NextDeadline() const { return m_impl->NextDeadline(); }

Result<DistributorActions> StateDistributor::Receive(TimePoint now, HostId sender, const Endpoint& source,
                                                     MessageType type, std::span<const std::byte> payload) {
  if (!Handles(type)) return MakeError(ErrorCode::kMessageUnknownType, std::string(MessageTypeText(type)));
  return m_impl->Receive(now, {sender, source}, type, payload);
}

InForceReport StateDistributor::InForce(TimePoint now) const {
  const ReportMessage summary = m_impl->Summary(now);
  InForceReport report{summary.m_version, summary.m_hosts, summary.m_behind, {}};
  for (const distribution::NamedVersion& named : summary.m_named)
    report.m_named.push_back({named.m_host, named.m_version});
  return report;
}

}  // namespace fighatch
