#ifndef FIGHATCH_MESSAGES_H_
#define FIGHATCH_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace fighatch {

/// The kinds of messages between our processes. The number is on the wire and is not used again for another kind.
enum class MessageType : std::uint8_t {
  kProbe = 1,
  kProbeAck = 2,
  kProbeRequest = 3,
  kMemberList = 4,

  kStateDigest = 16,
  kStateRequest = 17,
  kStateDelta = 18,
  kStateSnapshot = 19,
  kStateReport = 20,

  kTableUpdate = 32,
  kTableAck = 33,
  kTargetFacts = 34,
  kLeaseRequest = 35,
  kLeaseGrant = 36,

  kFlowRecords = 48,
  kKeeperForward = 49,
  kFlowRecordsAck = 50,

  kRequestForward = 64,
  kRequestAnswer = 65,
  kHandover = 66,
  kHandoverAck = 67,
  kSuccessorNotice = 68,

  kRaft = 80,
  kTicketSubmit = 81,
  kTicketAnswer = 82,
  kStatusQuery = 83,
  kStatusAnswer = 84,

  kSessionChallenge = 96,
  kSessionHello = 97,

  kSyncRequest = 112,
  // 113 was a sync reply whose routes have no objective.
  kLoadReport = 114,
  kSyncReply = 115,
};

/// One row of the table of message types.
struct MessageTypeName {
  MessageType m_type;
  std::string_view m_name;
};

/// All message types in ascending order.
[[nodiscard]] std::span<const MessageTypeName> MessageTypeTable() noexcept;

/// The type's name in snake case, for logs and metric labels; "unknown" for a number outside the table.
[[nodiscard]] std::string_view MessageTypeText(MessageType type) noexcept;

/// True for a number in the table.
[[nodiscard]] bool IsKnownMessageType(std::uint8_t number) noexcept;

/// Largest sealed message in bytes over TCP.
inline constexpr std::size_t kMaxTcpMessageBytes = 65536;
/// Largest sealed message in bytes over UDP: it fits the usual path MTU without fragments.
inline constexpr std::size_t kMaxUdpMessageBytes = 1200;

}  // namespace fighatch

#endif  // FIGHATCH_MESSAGES_H_
