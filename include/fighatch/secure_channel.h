#ifndef FIGHATCH_SECURE_CHANNEL_H_
#define FIGHATCH_SECURE_CHANNEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "fighatch/envelope.h"
#include "fighatch/replay_window.h"
#include "fighatch/sealer.h"

namespace fighatch {

/// How a `SecureChannel` is set up.
struct SecureChannelSettings {
  HostId m_self;
  /// Start of this process; see `NextIncarnation`.
  Incarnation m_incarnation;
  /// Random bits from the system's generator, fresh at each start.
  std::uint64_t m_token = 0;
  std::size_t m_max_senders = ReplayWindow::kDefaultMaxSenders;
};

/// What became of a received message. At most one of envelope and error is set; both are unset for a message that the
/// channel handles itself.
struct OpenedMessage {
  std::optional<Envelope> m_envelope;
  std::optional<Error> m_error;
  /// A sealed message to send back to where the received one came from; empty if there is none.
  std::vector<std::byte> m_reply;
};

/// Seals messages to and opens messages from all other daemons, and accepts each message at most once.
///
/// Every process draws a random token at its start, and messages to it must carry the token. A message recorded before
/// a restart carries the token of the earlier start, so it is refused without any state on disk and without clocks that
/// agree. Within one start the `ReplayWindow` refuses repeats. A sender learns the token from each message of the peer;
/// a message with a missing or wrong token is refused and answered with a sealed challenge that names the token, after
/// which the channel seals the refused message again, so that first contact costs one more round trip.
///
/// \code
/// SecureChannel channel({self, incarnation, RandomToken()}, std::move(ring));
/// Result<std::vector<std::byte>> sealed = channel.Seal(peer, MessageType::kProbe, payload, kMaxUdpMessageBytes);
/// OpenedMessage opened = channel.Open(datagram, kMaxUdpMessageBytes);
/// if (!opened.m_reply.empty()) Send(source, opened.m_reply);
/// if (opened.m_envelope) Handle(*opened.m_envelope);
/// \endcode
class SecureChannel {
 public:
  /// Host id for a receiver of which only the endpoint is known, such as a seed. The first message is always answered
  /// with a challenge, which names the receiver.
  static constexpr HostId kUnknownReceiver{0};

  SecureChannel(const SecureChannelSettings& settings, KeyRing keys);

  /// Seals a payload. Errors: `kMessageOversized`, `kMessageUnknownKey`.
  [[nodiscard]] Result<std::vector<std::byte>> Seal(HostId receiver, MessageType type,
                                                    std::span<const std::byte> payload, std::size_t limit_bytes);

  /// Opens a received message. Errors: those of `Sealer::Open`, and `kMessageReplayed` for a repeat, an older
  /// incarnation, another receiver, or a token that is not the present one. A message with an error changes nothing.
  [[nodiscard]] OpenedMessage Open(std::span<const std::byte> message, std::size_t limit_bytes);

  /// Replaces the keys after a reload.
  void SetKeys(KeyRing keys) { m_sealer.SetKeys(std::move(keys)); }

  [[nodiscard]] HostId Self() const noexcept { return m_self; }
  [[nodiscard]] Incarnation OwnIncarnation() const noexcept { return m_incarnation; }

  /// Set when a peer refuses this process because it knows a higher incarnation of it, as after a clock that went back
  /// on a host without a disk. The process must start again with an incarnation above this one.
  [[nodiscard]] std::optional<Incarnation> HigherIncarnationSeen() const noexcept { return m_higher_incarnation; }

 private:
  struct RetainedMessage {
    std::uint64_t m_sequence = 0;
    MessageType m_type = MessageType::kProbe;
    std::vector<std::byte> m_payload;
  };

  [[nodiscard]] Result<std::vector<std::byte>> SealWithToken(HostId receiver, std::uint64_t token, MessageType type,
                                                             std::span<const std::byte> payload,
                                                             std::size_t limit_bytes);
  [[nodiscard]] Status CheckFreshness(const EnvelopeHeader& header);
  [[nodiscard]] std::vector<std::byte> SealChallenge(const EnvelopeHeader& header);
  [[nodiscard]] std::vector<std::byte> ResealAfterChallenge(const Envelope& challenge);
  void RetainForResend(std::uint64_t sequence, MessageType type, std::span<const std::byte> payload);
  void LearnToken(const EnvelopeHeader& header);

  HostId m_self;
  Incarnation m_incarnation;
  std::uint64_t m_token;
  std::size_t m_max_peers;
  std::uint64_t m_sequence = 0;
  Sealer m_sealer;
  ReplayWindow m_window;
  std::unordered_map<HostId, std::uint64_t> m_peer_tokens;
  std::deque<RetainedMessage> m_retained;
  std::optional<Incarnation> m_higher_incarnation;
};

}  // namespace fighatch

#endif  // FIGHATCH_SECURE_CHANNEL_H_
