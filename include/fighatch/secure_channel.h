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

/// Identity and limits of a `SecureChannel`.
struct SecureChannelSettings {
  HostId m_self;
  /// Incarnation of this process; see `AllocateIncarnation`.
  Incarnation m_incarnation;
  /// Session token: random bits from the system's generator, drawn anew at each start.
  std::uint64_t m_token = 0;
  /// Largest number of peers whose replay window and session token are kept.
  std::size_t m_max_senders = ReplayWindow::kDefaultMaxSenders;
};

/// The result of opening a received message. At most one of envelope and error is set; both are unset for an accepted
/// challenge, which the channel handles itself.
struct OpenedMessage {
  std::optional<Envelope> m_envelope;
  std::optional<Error> m_error;
  /// A sealed message to send to the source of the received one: a challenge, or a message that is sealed again after a
  /// challenge. Empty if there is none.
  std::vector<std::byte> m_reply;
};

/// Seals messages to and opens messages from all other daemons, and accepts each message at most once.
///
/// Every process draws a random session token at its start, and messages to it must carry the token. A message recorded
/// before a restart carries the token of the earlier start, so it is refused without any state on disk and without
/// synchronised clocks. Within one run of the process the `ReplayWindow` refuses repeats. A sender learns a peer's
/// token from each message of the peer. A message with a missing or wrong token is refused and answered with a sealed
/// challenge that carries the right token; the sender's channel then seals the refused message again, so first contact
/// costs one additional round trip. Not safe for several threads.
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
  /// Host id for a receiver of which only the endpoint is known, such as a seed. The first message to it is always
  /// answered with a challenge, which carries the receiver's host id.
  static constexpr HostId kUnknownReceiver{0};

  SecureChannel(const SecureChannelSettings& settings, KeyRing keys);

  /// Seals a payload. Errors: `kMessageOversized`, `kMessageUnknownKey`.
  [[nodiscard]] Result<std::vector<std::byte>> Seal(HostId receiver, MessageType type,
                                                    std::span<const std::byte> payload, std::size_t limit_bytes);

  /// Opens a received message. Errors: those of `Sealer::Open`, and `kMessageReplayed` for a repeat, an older
  /// incarnation, another receiver, or a token that is not the current one. A refused message changes neither
  /// session tokens nor replay windows.
  [[nodiscard]] OpenedMessage Open(std::span<const std::byte> message, std::size_t limit_bytes);

  /// Replaces the keys after a reload.
  void SetKeys(KeyRing keys) { m_sealer.SetKeys(std::move(keys)); }

  [[nodiscard]] HostId Self() const noexcept { return m_self; }
  [[nodiscard]] Incarnation OwnIncarnation() const noexcept { return m_incarnation; }

  /// Set when a peer refuses this process because it knows a higher incarnation of it, for example after the clock of a
  /// host without a disk went back. The process must restart with an incarnation above this one.
  [[nodiscard]] std::optional<Incarnation> HigherIncarnationSeen() const noexcept { return m_higher_incarnation; }

 private:
  /// A sent message that can be sealed again if the receiver answers with a challenge.
  struct RetainedMessage {
    std::uint64_t m_sequence = 0;
    MessageType m_type = MessageType::kProbe;
    std::vector<std::byte> m_payload;
  };

  [[nodiscard]] Result<std::vector<std::byte>> SealWithToken(HostId receiver, std::uint64_t token, MessageType type,
                                                             std::span<const std::byte> payload,
                                                             std::size_t limit_bytes);
  /// Checks the receiver's token and host id and records the sequence number in the replay window.
  [[nodiscard]] Status CheckFreshness(const EnvelopeHeader& header);
  /// Seals a challenge to the sender of a refused message. Empty if it cannot be sealed.
  [[nodiscard]] std::vector<std::byte> SealChallenge(const EnvelopeHeader& header);
  /// Seals the message that the challenge refused again, with the sender's token. Empty if the message is no longer
  /// retained, or if the challenger knows a higher incarnation of this host.
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
