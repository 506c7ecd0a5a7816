#include "fighatch/secure_channel.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace fighatch {
namespace {

/// The number of sent messages that are retained so that they can be sealed again after a challenge, which arrives
/// within one round trip.
constexpr std::size_t kMaxRetainedMessages = 64;

/// Payload of `kSessionChallenge`.
struct ChallengePayload {
  /// The sequence number of the refused message.
  std::uint64_t m_sequence = 0;
  /// The highest incarnation that the challenger knows of the sender.
  Incarnation m_known_incarnation;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sequence, m_known_incarnation);
  }
};

// Maps 0 to 1, since 0 on the wire means that no token is known.
std::uint64_t NonZero(std::uint64_t token) noexcept { return token != 0 ? token : 1; }

}  // namespace

SecureChannel::SecureChannel(const SecureChannelSettings& settings, KeyRing keys)
    : m_self(settings.m_self),
      m_incarnation(settings.m_incarnation),
      m_token(NonZero(settings.m_token)),
      m_max_peers(settings.m_max_senders),
      m_sealer(std::move(keys)),
      m_window(settings.m_max_senders) {}

Result<std::vector<std::byte>> SecureChannel::SealWithToken(HostId receiver, std::uint64_t token, MessageType type,
                                                            std::span<const std::byte> payload,
                                                            std::size_t limit_bytes) {
  EnvelopeHeader header;
  header.m_type = type;
  header.m_sender = m_self;
  header.m_receiver = receiver;
  header.m_incarnation = m_incarnation;
  header.m_sequence = ++m_sequence;
  header.m_sender_token = m_token;
  header.m_receiver_token = token;
  return m_sealer.Seal(header, payload, limit_bytes);
}

Result<std::vector<std::byte>> SecureChannel::Seal(HostId receiver, MessageType type,
                                                   std::span<const std::byte> payload, std::size_t limit_bytes) {
  const auto known = m_peer_tokens.find(receiver);
  const std::uint64_t token = known != m_peer_tokens.end() ? known->second : 0;
  auto sealed = SealWithToken(receiver, token, type, payload, limit_bytes);
  if (IsOk(sealed)) RetainForResend(m_sequence, type, payload);
  return sealed;
}

void SecureChannel::RetainForResend(std::uint64_t sequence, MessageType type, std::span<const std::byte> payload) {
  // Messages that fit only into a TCP frame are not retained: a stream exchanges tokens when it connects.
  if (payload.size() > kMaxUdpPayloadBytes) return;
  if (m_retained.size() >= kMaxRetainedMessages) m_retained.pop_front();
  m_retained.push_back({sequence, type, {payload.begin(), payload.end()}});
}

Status SecureChannel::CheckFreshness(const EnvelopeHeader& header) {
  if (header.m_receiver_token != m_token)
    return MakeError(ErrorCode::kMessageReplayed, "receiver token is missing or out of date");
  if (header.m_receiver != m_self) return MakeError(ErrorCode::kMessageReplayed, "addressed to another receiver");
  const std::uint64_t evictions = m_window.Evictions();
  Status accepted = m_window.Accept(header.m_sender, header.m_incarnation, header.m_sequence);
  // The evicted sender's window is lost. The own token is changed, so that messages sealed for the previous one, which
  // may be replays, are refused from now on.
  if (m_window.Evictions() != evictions) m_token = NonZero(m_token + 1);
  return accepted;
}

OpenedMessage SecureChannel::Open(std::span<const std::byte> message, std::size_t limit_bytes) {
  OpenedMessage opened;
  Result<Envelope> envelope = m_sealer.Open(message, limit_bytes);
  if (!IsOk(envelope)) {
    opened.m_error = ErrorOf(envelope);
    return opened;
  }
  const EnvelopeHeader& header = ValueOf(envelope).m_header;
  const bool is_challenge = header.m_type == MessageType::kSessionChallenge;
  const bool has_wrong_token = header.m_receiver_token != m_token;
  if (Status fresh = CheckFreshness(header); !IsOk(fresh)) {
    opened.m_error = ErrorOf(fresh);
    const bool is_older_incarnation = header.m_incarnation < m_window.HighestIncarnation(header.m_sender);
    // A challenge is never answered with a challenge; otherwise two hosts could answer each other endlessly.
    if ((has_wrong_token || is_older_incarnation) && !is_challenge) opened.m_reply = SealChallenge(header);
    return opened;
  }
  LearnToken(header);
  if (is_challenge) {
    opened.m_reply = ResealAfterChallenge(ValueOf(envelope));
  } else {
    opened.m_envelope = std::move(ValueOf(envelope));
  }
  return opened;
}

void SecureChannel::LearnToken(const EnvelopeHeader& header) {
  // Any entry may be evicted: a forgotten token costs one challenge.
  if (m_peer_tokens.size() >= m_max_peers && !m_peer_tokens.contains(header.m_sender))
    m_peer_tokens.erase(m_peer_tokens.begin());
  m_peer_tokens[header.m_sender] = header.m_sender_token;
}

std::vector<std::byte> SecureChannel::SealChallenge(const EnvelopeHeader& header) {
  const ChallengePayload payload{header.m_sequence, m_window.HighestIncarnation(header.m_sender)};
  auto sealed = SealWithToken(header.m_sender, header.m_sender_token, MessageType::kSessionChallenge,
                              wire::Encode(payload), kMaxUdpMessageBytes);
  return IsOk(sealed) ? std::move(ValueOf(sealed)) : std::vector<std::byte>();
}

std::vector<std::byte> SecureChannel::ResealAfterChallenge(const Envelope& challenge) {
  Result<ChallengePayload> payload = wire::Decode<ChallengePayload>(challenge.m_payload);
  if (!IsOk(payload)) return {};
  if (ValueOf(payload).m_known_incarnation > m_incarnation) {
    m_higher_incarnation = std::max(m_higher_incarnation.value_or(Incarnation{}), ValueOf(payload).m_known_incarnation);
    return {};
  }
  const auto retained = std::find_if(m_retained.begin(), m_retained.end(), [&payload](const RetainedMessage& message) {
    return message.m_sequence == ValueOf(payload).m_sequence;
  });
  if (retained == m_retained.end()) return {};
  auto sealed = SealWithToken(challenge.m_header.m_sender, challenge.m_header.m_sender_token, retained->m_type,
                              retained->m_payload, kMaxUdpMessageBytes);
  m_retained.erase(retained);
  return IsOk(sealed) ? std::move(ValueOf(sealed)) : std::vector<std::byte>();
}

}  // namespace fighatch
