#ifndef FIGHATCH_MESSAGES_H_
#define FIGHATCH_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace fighatch {

/// The types of messages between daemons. The number is part of the wire format and is never reused for another type.
enum class MessageType : std::uint8_t {
  // Membership.
  kProbe = 1,
  kProbeAck = 2,
  kProbeRequest = 3,
  kMemberList = 4,

  // Distribution of the state document.
  kStateDigest = 16,
  kStateRequest = 17,
  kStateDelta = 18,
  kStateSnapshot = 19,
  kStateReport = 20,

  // Target tables, target facts and allowance leases.
  kTableUpdate = 32,
  kTableAck = 33,
  kTargetFacts = 34,
  kLeaseRequest = 35,
  kLeaseGrant = 36,

  // Flow records.
  kFlowRecords = 48,
  kKeeperForward = 49,
  kFlowRecordsAck = 50,

  // Requests and their handover between balancers.
  kRequestForward = 64,
  kRequestAnswer = 65,
  kHandover = 66,
  kHandoverAck = 67,
  kSuccessorNotice = 68,

  // Consensus, tickets and status queries.
  kRaft = 80,
  kTicketSubmit = 81,
  kTicketAnswer = 82,
  kStatusQuery = 83,
  kStatusAnswer = 84,

  // Exchange of session tokens; see `SecureChannel` and `io::MessageStream`.
  kSessionChallenge = 96,
  kSessionHello = 97,

  // Synchronisation of the routing state, and load reports.
  kSyncRequest = 112,
  // 113 is retired: it was a sync reply whose routes carried no objective.
  kLoadReport = 114,
  kSyncReply = 115,

  // Load that is exchanged between balancers beside the load reports.
  kOfferedLoad = 116,
  kLoadSummary = 117,
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
/// Largest sealed message in bytes over UDP: it fits the usual path MTU without IP fragmentation.
inline constexpr std::size_t kMaxUdpMessageBytes = 1200;

}  // namespace fighatch

#endif  // FIGHATCH_MESSAGES_H_
