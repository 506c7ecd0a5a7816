#include "fighatch/state_receiver.h"

#include <algorithm>
#include <utility>

#include "distribution/distribution_messages.h"
#include "fighatch/hash.h"

namespace fighatch {

using distribution::ChunkMessage;
using distribution::DigestMessage;
using distribution::RequestMessage;

namespace {

using std::chrono::milliseconds;

/// The parent is silent if the last confirmation is older than this, a little over the heartbeat of one second.
constexpr Duration kParentTimeout = milliseconds(1300);
/// Interval at which a random peer is polled while the parent is silent.
constexpr Duration kPeerPollInterval = milliseconds(400);
/// The delay before a request is retried doubles from the first value to the second.
constexpr Duration kMinRetryDelay = milliseconds(100);
constexpr Duration kMaxRetryDelay = milliseconds(800);
/// Time to wait for missing chunks of a window that has begun to arrive before they are requested again.
constexpr Duration kChunkGapTimeout = milliseconds(40);
/// Tries without progress after which another peer is asked, and after which the transfer is given up.
constexpr int kMaxTriesPerSource = 3;
constexpr int kMaxTriesPerTransfer = 12;
/// Most chunks that a source sends for one request; `StateDistributor` uses the same number.
constexpr std::uint32_t kWindowChunks = 16;

}  // namespace

class StateReceiver::Impl {
 public:
  Impl(StateHistory* history, Random random) : m_history(history), m_random(random) {}

  ReceiverActions Tick(TimePoint now) {
    m_now = now;
    if (!m_started_at) m_started_at = now;
    if (m_wanted_version && now >= m_retry_at) Retry();
    if (!m_wanted_version && now >= NextPollAt()) PollRandomPeer();
    return std::exchange(m_actions, {});
  }

  [[nodiscard]] TimePoint NextDeadline() const { return m_wanted_version ? m_retry_at : NextPollAt(); }

  Result<ReceiverActions> Receive(TimePoint now, const StatePeer& sender, MessageType type,
                                  std::span<const std::byte> payload) {
    m_now = now;
    if (!m_started_at) m_started_at = now;
    if (type == MessageType::kStateDigest) {
      Result<DigestMessage> message = distribution::DecodeDigest(payload);
      if (!IsOk(message)) return ErrorOf(message);
      OnDigest(sender, ValueOf(message));
    } else {
      Result<ChunkMessage> message = distribution::DecodeChunk(payload);
      if (!IsOk(message)) return ErrorOf(message);
      const bool is_snapshot = type == MessageType::kStateSnapshot;
      if (is_snapshot && ValueOf(message).m_from != Version{})
        return MakeError(ErrorCode::kMessageMalformed, "snapshot chunk has a start version");
      OnChunk(sender, is_snapshot, std::move(ValueOf(message)));
    }
    return std::exchange(m_actions, {});
  }

  ReceiverActions CatchUp(TimePoint now, const StatePeer& peer, Version version) {
    m_now = now;
    if (version > HeldVersion()) StartTransfer(peer, version);
    return std::exchange(m_actions, {});
  }

  void SetFallbackPeers(std::vector<StatePeer> peers) { m_peers = std::move(peers); }

  [[nodiscard]] bool IsStale(TimePoint now) const {
    const auto confirmed = m_history->ConfirmedAt();
    return !confirmed || now - *confirmed > kStaleAfter;
  }

 private:
  /// The chunks of a delta or snapshot that have arrived so far.
  struct Reassembly {
    bool m_is_snapshot = false;
    ChunkMessage m_chunk_header;
    std::map<std::uint32_t, std::vector<std::uint8_t>> m_chunks;
    std::uint32_t m_first_missing = 0;
    std::uint32_t m_window_end = kWindowChunks;
  };

  [[nodiscard]] Version HeldVersion() const { return m_history->CurrentVersion(); }

  [[nodiscard]] TimePoint NextPollAt() const {
    const TimePoint since = m_history->ConfirmedAt().value_or(m_started_at.value_or(TimePoint{}));
    return std::max(since + kParentTimeout, m_earliest_poll);
  }

  void PollRandomPeer() {
    m_earliest_poll = m_now + kPeerPollInterval + milliseconds(m_random.Below(100));
    if (!m_peers.empty()) SendRequest(m_peers[m_random.Below(m_peers.size())]);
  }

  void SendRequest(const StatePeer& peer) {
    RequestMessage request{HeldVersion(), m_needs_snapshot, {}, 0};
    if (m_reassembly) {
      request.m_transfer_version = m_reassembly->m_chunk_header.m_to;
      request.m_first_chunk = m_reassembly->m_first_missing;
    }
    m_actions.m_messages.push_back(
        {peer.m_endpoint, peer.m_host, MessageType::kStateRequest, distribution::Encode(request)});
  }

  void ConfirmIfCurrent(Version version, std::uint64_t digest, std::uint32_t age_ms) {
    if (version < HeldVersion() || age_ms == distribution::kNeverConfirmedMs) return;
    if (version == HeldVersion() && digest != m_history->CurrentDigest()) return;
    // The confirmation of a newer version does not count: the state is fresh only once it has that version.
    if (version != HeldVersion()) return;
    m_history->Confirm(m_now - milliseconds(age_ms));
    m_actions.m_is_confirmed = true;
  }

  void OnDigest(const StatePeer& sender, const DigestMessage& message) {
    ConfirmIfCurrent(message.m_version, message.m_digest, message.m_age_ms);
    if (message.m_version > HeldVersion()) return StartTransfer(sender, message.m_version);
    // Different content at the same version: the sender's content replaces this host's only if a control host has
    // confirmed it within `kStaleAfter`.
    const bool is_confirmed =
        message.m_age_ms != distribution::kNeverConfirmedMs && milliseconds(message.m_age_ms) < kStaleAfter;
    if (message.m_version != HeldVersion() || message.m_digest == m_history->CurrentDigest() || !is_confirmed) return;
    m_needs_snapshot = true;
    StartTransfer(sender, message.m_version);
  }

  void StartTransfer(const StatePeer& source, Version version) {
    if (m_wanted_version && *m_wanted_version >= version) return;
    const bool is_first = !m_wanted_version;
    m_wanted_version = version;
    if (!is_first) return;
    m_source = source;
    m_tries = 0;
    RequestFromSource();
  }

  void RequestFromSource() {
    const Duration wait = std::min(kMaxRetryDelay, kMinRetryDelay * (1 << std::min(m_tries, 3)));
    m_retry_at = m_now + wait + milliseconds(m_random.Below(20));
    SendRequest(m_source);
  }

  void Retry() {
    ++m_tries;
    if (m_tries % kMaxTriesPerSource == 0 && !m_peers.empty()) {
      m_source = m_peers[m_random.Below(m_peers.size())];
    }
    // The digest that announced the version may come from a host that has stopped since: give up until the next digest.
    if (m_tries >= kMaxTriesPerTransfer) return EndTransfer();
    RequestFromSource();
  }

  void EndTransfer() {
    m_wanted_version.reset();
    m_reassembly.reset();
  }

  void OnChunk(const StatePeer& sender, bool is_snapshot, ChunkMessage chunk) {
    const bool is_applicable = is_snapshot
                                   ? chunk.m_to > HeldVersion() || (m_needs_snapshot && chunk.m_to == HeldVersion())
                                   : chunk.m_from == HeldVersion() && !m_needs_snapshot;
    if (!is_applicable) {
      ConfirmIfCurrent(chunk.m_to, chunk.m_state_digest, chunk.m_age_ms);
      if (chunk.m_to > HeldVersion()) StartTransfer(sender, chunk.m_to);
      return;
    }
    if (!m_reassembly || !BelongsToReassembly(is_snapshot, chunk)) {
      // A transfer in progress is not given up for one that ends at a lower version.
      if (m_reassembly && m_reassembly->m_chunk_header.m_to > chunk.m_to) return;
      m_reassembly = Reassembly{is_snapshot, chunk, {}, 0, kWindowChunks};
    }
    m_reassembly->m_chunks[chunk.m_index] = std::move(chunk.m_bytes);
    const std::uint32_t first_missing = m_reassembly->m_first_missing;
    while (m_reassembly->m_chunks.contains(m_reassembly->m_first_missing)) ++m_reassembly->m_first_missing;
    if (m_reassembly->m_first_missing > first_missing) ResetRetries();
    if (m_reassembly->m_first_missing == m_reassembly->m_chunk_header.m_count) return CompleteTransfer(sender);
    RequestNextWindow(sender);
  }

  [[nodiscard]] bool BelongsToReassembly(bool is_snapshot, const ChunkMessage& chunk) const {
    const ChunkMessage& header = m_reassembly->m_chunk_header;
    return m_reassembly->m_is_snapshot == is_snapshot && header.m_from == chunk.m_from && header.m_to == chunk.m_to &&
           header.m_content_hash == chunk.m_content_hash && header.m_count == chunk.m_count;
  }

  void ResetRetries() {
    m_tries = 0;
    m_retry_at = m_now + kChunkGapTimeout;
  }

  void RequestNextWindow(const StatePeer& sender) {
    if (m_reassembly->m_first_missing < m_reassembly->m_window_end) return;
    m_reassembly->m_window_end = m_reassembly->m_first_missing + kWindowChunks;
    m_source = sender;
    m_tries = 0;
    if (!m_wanted_version) m_wanted_version = m_reassembly->m_chunk_header.m_to;
    RequestFromSource();
  }

  void CompleteTransfer(const StatePeer& sender) {
    const Reassembly reassembly = std::move(*m_reassembly);
    m_reassembly.reset();
    std::vector<std::byte> content;
    for (const auto& [index, bytes] : reassembly.m_chunks) {
      const auto part = std::as_bytes(std::span(bytes));
      content.insert(content.end(), part.begin(), part.end());
    }
    if (HashBytes(content) != reassembly.m_chunk_header.m_content_hash) return;
    const ChunkMessage& header = reassembly.m_chunk_header;
    const Status done = reassembly.m_is_snapshot
                            ? m_history->Load(header.m_to, content)
                            : m_history->Apply({header.m_from, header.m_to, std::move(content), 0});
    if (!IsOk(done)) {
      m_needs_snapshot = true;
      return;
    }
    m_actions.m_is_state_changed = true;
    m_needs_snapshot = m_history->CurrentDigest() != header.m_state_digest;
    ConfirmIfCurrent(header.m_to, header.m_state_digest, header.m_age_ms);
    if (m_needs_snapshot) return StartTransfer(sender, header.m_to);
    if (!m_wanted_version) return;
    if (HeldVersion() >= *m_wanted_version) return EndTransfer();
    m_source = sender;
    m_tries = 0;
    // The same answer may hold further deltas that are still to arrive.
    m_retry_at = m_now + milliseconds(20);
  }

  StateHistory* m_history;
  Random m_random;
  std::vector<StatePeer> m_peers;
  TimePoint m_now;
  std::optional<TimePoint> m_started_at;
  TimePoint m_earliest_poll;
  std::optional<Version> m_wanted_version;
  StatePeer m_source;
  TimePoint m_retry_at;
  int m_tries = 0;
  bool m_needs_snapshot = false;
  std::optional<Reassembly> m_reassembly;
  ReceiverActions m_actions;
};

StateReceiver::StateReceiver(StateHistory* history, Random random) : m_impl(std::make_unique<Impl>(history, random)) {}
StateReceiver::~StateReceiver() = default;
StateReceiver::StateReceiver(StateReceiver&& other) noexcept = default;
StateReceiver& StateReceiver::operator=(StateReceiver&& other) noexcept = default;

bool StateReceiver::Handles(MessageType type) noexcept {
  return type == MessageType::kStateDigest || type == MessageType::kStateDelta || type == MessageType::kStateSnapshot;
}

void StateReceiver::SetFallbackPeers(std::vector<StatePeer> peers) { m_impl->SetFallbackPeers(std::move(peers)); }
ReceiverActions StateReceiver::Tick(TimePoint now) { return m_impl->Tick(now); }
TimePoint StateReceiver::NextDeadline() const { return m_impl->NextDeadline(); }

Result<ReceiverActions> StateReceiver::Receive(TimePoint now, HostId sender, const Endpoint& source, MessageType type,
                                               std::span<const std::byte> payload) {
  if (!Handles(type)) return MakeError(ErrorCode::kMessageUnknownType, std::string(MessageTypeText(type)));
  return m_impl->Receive(now, {sender, source}, type, payload);
}

ReceiverActions StateReceiver::CatchUp(TimePoint now, const StatePeer& peer, Version version) {
  return m_impl->CatchUp(now, peer, version);
}

bool StateReceiver::IsStale(TimePoint now) const { return m_impl->IsStale(now); }

}  // namespace fighatch
