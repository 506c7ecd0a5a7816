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

/// Control hosts send a digest to their children at least this often.
constexpr Duration kOriginHeartbeatInterval = std::chrono::seconds(1);
/// A relay forwards each heartbeat when it arrives; its own timer only replaces heartbeats that do not arrive.
constexpr Duration kRelayHeartbeatInterval = milliseconds(1500);
/// Confirmations closer together than this are not forwarded.
constexpr Duration kMinForwardInterval = milliseconds(500);
/// After a change the digest is resent at this interval, and at most this many times, to the children that have not
/// reported the version. After that the heartbeat repeats it.
constexpr Duration kDigestResendInterval = milliseconds(200);
constexpr int kMaxDigestResends = 4;
/// Time from one report to the next: without a change, and with a change to report.
constexpr Duration kReportRefreshInterval = std::chrono::seconds(2);
constexpr Duration kChangedReportDelay = std::chrono::seconds(1);
/// Lagging hosts are listed once a version is this old; before that most of them are about to report.
constexpr Duration kListLaggingHostsAfter = std::chrono::seconds(1);
/// A child counts as lagging, with its subtree, if it has not reported for this long.
constexpr Duration kReportTimeout = std::chrono::seconds(9);
/// Most chunks sent for one request; `StateReceiver` uses the same number.
constexpr std::uint32_t kWindowChunks = 16;

}  // namespace

class StateDistributor::Impl {
 public:
  Impl(HostId self, StateHistory* history, bool is_origin) : m_self(self), m_history(history), m_is_origin(is_origin) {}

  void SetNeighbours(const TreeNeighbours& neighbours) {
    std::map<HostId, Child> children;
    for (const StatePeer& peer : neighbours.m_children) {
      const auto known = m_children.find(peer.m_host);
      children[peer.m_host] = known != m_children.end() ? known->second : Child{};
      children[peer.m_host].m_peer = peer;
    }
    m_children = std::move(children);
    if (m_parent != neighbours.m_parent) m_is_report_due = true;
    m_parent = neighbours.m_parent;
  }

  void SetOrigin(bool is_origin) { m_is_origin = is_origin; }

  DistributorActions OnStateChanged(TimePoint now) {
    BeginCall(now);
    const EncodedDelta* delta = m_pushed_version ? m_history->DeltaFrom(*m_pushed_version) : nullptr;
    const bool is_single_delta = delta != nullptr && delta->m_to == m_history->CurrentVersion() &&
                                 delta->m_content.size() <= distribution::kChunkBytes;
    for (const auto& [host, child] : m_children) {
      if (is_single_delta && child.m_report.m_version == delta->m_from) {
        SendDelta(child.m_peer, *delta, 0, kWindowChunks);
      } else {
        SendDigest(child.m_peer);
      }
    }
    m_pushed_version = m_history->CurrentVersion();
    m_digest_resends_left = kMaxDigestResends;
    m_next_digest_resend = now + kDigestResendInterval;
    m_next_heartbeat = now + (m_is_origin ? kOriginHeartbeatInterval : kRelayHeartbeatInterval);
    m_forwarded_confirmation = m_history->ConfirmedAt().value_or(TimePoint{});
    m_changed_at = now;
    SendReport();
    return std::exchange(m_actions, {});
  }

  DistributorActions OnConfirmed(TimePoint now) {
    BeginCall(now);
    const bool is_forward_due = m_history->ConfirmedAt() >= m_forwarded_confirmation + kMinForwardInterval;
    if (is_forward_due && !m_is_origin) SendHeartbeat();
    return std::exchange(m_actions, {});
  }

  DistributorActions Tick(TimePoint now) {
    BeginCall(now);
    if (m_digest_resends_left > 0 && now >= m_next_digest_resend) ResendDigests();
    if (now >= m_next_heartbeat) SendHeartbeat();
    if (now >= NextReportAt()) SendReport();
    return std::exchange(m_actions, {});
  }

  [[nodiscard]] TimePoint NextDeadline() const {
    TimePoint next = std::min(m_next_heartbeat, NextReportAt());
    if (m_digest_resends_left > 0) next = std::min(next, m_next_digest_resend);
    return next;
  }

  Result<DistributorActions> Receive(TimePoint now, const StatePeer& sender, MessageType type,
                                     std::span<const std::byte> payload) {
    if (type == MessageType::kStateRequest) {
      Result<RequestMessage> message = distribution::DecodeRequest(payload);
      if (!IsOk(message)) return ErrorOf(message);
      BeginCall(now);
      OnRequest(sender, ValueOf(message));
    } else {
      Result<ReportMessage> message = distribution::DecodeReport(payload);
      if (!IsOk(message)) return ErrorOf(message);
      BeginCall(now);
      OnReport(sender, std::move(ValueOf(message)));
    }
    return std::exchange(m_actions, {});
  }

  [[nodiscard]] ReportMessage SummariseSubtree(TimePoint now) const {
    ReportMessage sum{m_history->CurrentVersion(), 1, 0, {}};
    const auto list_host = [&sum, is_too_early = now - m_changed_at < kListLaggingHostsAfter](HostId host,
                                                                                              Version version) {
      if (!is_too_early && sum.m_lagging_hosts.size() < distribution::kMaxLaggingHostsListed)
        sum.m_lagging_hosts.push_back({host, version});
    };
    for (const auto& [host, child] : m_children) {
      const ReportMessage& report = child.m_report;
      sum.m_hosts += report.m_hosts;
      const bool is_silent = !child.m_reported_at || now - *child.m_reported_at > kReportTimeout;
      const bool is_behind = report.m_version < sum.m_version;
      if (is_silent || is_behind) {
        sum.m_lagging_count += report.m_hosts;
        list_host(host, report.m_version);
      } else {
        sum.m_lagging_count += report.m_lagging_count;
      }
      for (const distribution::LaggingHostVersion& lagging : report.m_lagging_hosts)
        list_host(lagging.m_host, lagging.m_version);
    }
    return sum;
  }

 private:
  struct Child {
    StatePeer m_peer;
    ReportMessage m_report;
    std::optional<TimePoint> m_reported_at;
  };

  /// The snapshot that was sent last. A transfer that has begun continues with it even if the state has changed since;
  /// otherwise no large transfer would finish while changes keep coming.
  struct SnapshotTransfer {
    ChunkMessage m_chunk_header;
    std::vector<std::byte> m_content;
  };

  void BeginCall(TimePoint now) {
    m_now = now;
    if (m_is_started) return;
    m_is_started = true;
    m_pushed_version = m_history->CurrentVersion();
    m_next_heartbeat = now;
    m_last_report = now;
  }

  [[nodiscard]] std::uint32_t ConfirmationAgeMs() const {
    if (m_is_origin) return 0;
    const auto confirmed = m_history->ConfirmedAt();
    if (!confirmed) return distribution::kNeverConfirmedMs;
    const auto age = std::chrono::duration_cast<milliseconds>(m_now - *confirmed).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, distribution::kNeverConfirmedMs - 1));
  }

  void Send(const StatePeer& peer, MessageType type, std::vector<std::byte> payload) {
    m_actions.m_messages.push_back({peer.m_endpoint, peer.m_host, type, std::move(payload)});
  }

  void SendDigest(const StatePeer& peer) {
    const DigestMessage digest{m_history->CurrentVersion(), m_history->CurrentDigest(), ConfirmationAgeMs()};
    Send(peer, MessageType::kStateDigest, distribution::Encode(digest));
  }

  void SendHeartbeat() {
    m_next_heartbeat = m_now + (m_is_origin ? kOriginHeartbeatInterval : kRelayHeartbeatInterval);
    m_forwarded_confirmation = m_history->ConfirmedAt().value_or(TimePoint{});
    for (const auto& [host, child] : m_children) SendDigest(child.m_peer);
  }

  void ResendDigests() {
    --m_digest_resends_left;
    m_next_digest_resend = m_now + kDigestResendInterval;
    bool have_all_reported = true;
    for (const auto& [host, child] : m_children) {
      if (child.m_report.m_version >= m_history->CurrentVersion()) continue;
      have_all_reported = false;
      SendDigest(child.m_peer);
    }
    if (have_all_reported) m_digest_resends_left = 0;
  }

  [[nodiscard]] TimePoint NextReportAt() const {
    if (!m_parent) return TimePoint::max();
    return m_last_report + (m_is_report_due ? kChangedReportDelay : kReportRefreshInterval);
  }

  void SendReport() {
    m_is_report_due = false;
    m_last_report = m_now;
    if (!m_parent) return;
    const ReportMessage summary = SummariseSubtree(m_now);
    m_reported_lagging_count = summary.m_lagging_count;
    Send(*m_parent, MessageType::kStateReport, distribution::Encode(summary));
  }

  void OnReport(const StatePeer& sender, ReportMessage report) {
    if (report.m_version > m_history->CurrentVersion()) {
      m_actions.m_newer_peer = sender;
      m_actions.m_newer_version = report.m_version;
    }
    const auto child = m_children.find(sender.m_host);
    if (child == m_children.end()) return;
    const bool has_report_changed = child->second.m_report.m_lagging_count != report.m_lagging_count ||
                                    child->second.m_report.m_hosts != report.m_hosts ||
                                    child->second.m_report.m_version != report.m_version;
    if (has_report_changed) m_is_report_due = true;
    child->second.m_report = std::move(report);
    child->second.m_reported_at = m_now;
    // That no host lags any more is reported at once; progress before that is reported at intervals.
    if (has_report_changed && m_reported_lagging_count > 0 && SummariseSubtree(m_now).m_lagging_count == 0)
      SendReport();
  }

  void OnRequest(const StatePeer& sender, const RequestMessage& request) {
    SendDigest(sender);
    if (m_snapshot_transfer && request.m_first_chunk > 0 &&
        request.m_transfer_version == m_snapshot_transfer->m_chunk_header.m_to)
      return SendSnapshotChunks(sender, request);
    if (request.m_held_version > m_history->CurrentVersion()) return;
    if (request.m_held_version == m_history->CurrentVersion() && !request.m_wants_snapshot) return;
    const EncodedDelta* delta = request.m_wants_snapshot ? nullptr : m_history->DeltaFrom(request.m_held_version);
    if (delta == nullptr) return SendSnapshot(sender, request);
    std::uint32_t first_chunk = request.m_transfer_version == delta->m_to ? request.m_first_chunk : 0;
    for (std::uint32_t max_chunks = kWindowChunks; max_chunks > 0 && delta != nullptr;) {
      max_chunks -= std::min(max_chunks, SendDelta(sender, *delta, first_chunk, max_chunks));
      first_chunk = 0;
      delta = m_history->DeltaFrom(delta->m_to);
    }
  }

  std::uint32_t SendDelta(const StatePeer& peer, const EncodedDelta& delta, std::uint32_t first_chunk,
                          std::uint32_t max_chunks) {
    ChunkMessage header;
    header.m_from = delta.m_from;
    header.m_to = delta.m_to;
    header.m_state_digest = delta.m_digest;
    return SendChunks(peer, MessageType::kStateDelta, header, delta.m_content, first_chunk, max_chunks);
  }

  void SendSnapshot(const StatePeer& peer, const RequestMessage& request) {
    if (!m_snapshot_transfer || m_snapshot_transfer->m_chunk_header.m_to != m_history->CurrentVersion()) {
      m_snapshot_transfer = SnapshotTransfer{{}, m_history->Snapshot()};
      m_snapshot_transfer->m_chunk_header.m_to = m_history->CurrentVersion();
      m_snapshot_transfer->m_chunk_header.m_state_digest = m_history->CurrentDigest();
    }
    SendSnapshotChunks(peer, request);
  }

  void SendSnapshotChunks(const StatePeer& peer, const RequestMessage& request) {
    const std::uint32_t first_chunk =
        request.m_transfer_version == m_snapshot_transfer->m_chunk_header.m_to ? request.m_first_chunk : 0;
    SendChunks(peer, MessageType::kStateSnapshot, m_snapshot_transfer->m_chunk_header, m_snapshot_transfer->m_content,
               first_chunk, kWindowChunks);
  }

  std::uint32_t SendChunks(const StatePeer& peer, MessageType type, ChunkMessage header,
                           std::span<const std::byte> content, std::uint32_t first_chunk, std::uint32_t max_chunks) {
    const std::size_t count =
        std::max<std::size_t>(1, (content.size() + distribution::kChunkBytes - 1) / distribution::kChunkBytes);
    if (count > distribution::kMaxChunks) return max_chunks;
    header.m_content_hash = HashBytes(content);
    header.m_age_ms = ConfirmationAgeMs();
    header.m_count = static_cast<std::uint32_t>(count);
    std::uint32_t sent = 0;
    for (header.m_index = first_chunk; header.m_index < header.m_count && sent < max_chunks; ++header.m_index, ++sent) {
      const std::size_t start = header.m_index * distribution::kChunkBytes;
      const auto part = content.subspan(start, std::min(distribution::kChunkBytes, content.size() - start));
      const auto* bytes = reinterpret_cast<const std::uint8_t*>(part.data());
      header.m_bytes.assign(bytes, bytes + part.size());
      Send(peer, type, distribution::Encode(header));
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
  /// The version that the children were last told of by `OnStateChanged`, or the one at the start.
  std::optional<Version> m_pushed_version;
  std::optional<SnapshotTransfer> m_snapshot_transfer;
  int m_digest_resends_left = 0;
  TimePoint m_next_digest_resend;
  TimePoint m_next_heartbeat;
  /// Time of the last confirmation that was sent to the children.
  TimePoint m_forwarded_confirmation;
  TimePoint m_changed_at;
  TimePoint m_last_report;
  bool m_is_report_due = true;
  /// Lagging hosts in the last report to the parent.
  std::uint32_t m_reported_lagging_count = 0;
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

void StateDistributor::SetNeighbours(const TreeNeighbours& neighbours) { m_impl->SetNeighbours(neighbours); }
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
  const ReportMessage summary = m_impl->SummariseSubtree(now);
  InForceReport report{summary.m_version, summary.m_hosts, summary.m_lagging_count, {}};
  for (const distribution::LaggingHostVersion& lagging : summary.m_lagging_hosts)
    report.m_lagging_hosts.push_back({lagging.m_host, lagging.m_version});
  return report;
}

}  // namespace fighatch
