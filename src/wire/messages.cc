#include "fighatch/messages.h"

#include <algorithm>
#include <array>

namespace fighatch {
namespace {

constexpr auto kTable = std::to_array<MessageTypeName>({
    {MessageType::kProbe, "probe"},
    {MessageType::kProbeAck, "probe_ack"},
    {MessageType::kProbeRequest, "probe_request"},
    {MessageType::kMemberList, "member_list"},
    {MessageType::kStateDigest, "state_digest"},
    {MessageType::kStateRequest, "state_request"},
    {MessageType::kStateDelta, "state_delta"},
    {MessageType::kStateSnapshot, "state_snapshot"},
    {MessageType::kStateReport, "state_report"},
    {MessageType::kTableUpdate, "table_update"},
    {MessageType::kTableAck, "table_ack"},
    {MessageType::kTargetFacts, "target_facts"},
    {MessageType::kLeaseRequest, "lease_request"},
    {MessageType::kLeaseGrant, "lease_grant"},
    {MessageType::kFlowRecords, "flow_records"},
    {MessageType::kKeeperForward, "keeper_forward"},
    {MessageType::kFlowRecordsAck, "flow_records_ack"},
    {MessageType::kRequestForward, "request_forward"},
    {MessageType::kRequestAnswer, "request_answer"},
    {MessageType::kHandover, "handover"},
    {MessageType::kHandoverAck, "handover_ack"},
    {MessageType::kSuccessorNotice, "successor_notice"},
    {MessageType::kRaft, "raft"},
    {MessageType::kTicketSubmit, "ticket_submit"},
    {MessageType::kTicketAnswer, "ticket_answer"},
    {MessageType::kStatusQuery, "status_query"},
    {MessageType::kStatusAnswer, "status_answer"},
    {MessageType::kSessionChallenge, "session_challenge"},
    {MessageType::kSessionHello, "session_hello"},
    {MessageType::kSyncRequest, "sync_request"},
    {MessageType::kLoadReport, "load_report"},
    {MessageType::kSyncReply, "sync_reply"},
    {MessageType::kOfferedLoad, "offered_load"},
    {MessageType::kLoadSummary, "load_summary"},
});

const MessageTypeName* Find(MessageType type) noexcept {
  const auto row =
      std::lower_bound(kTable.begin(), kTable.end(), type,
                       [](const MessageTypeName& entry, MessageType wanted) { return entry.m_type < wanted; });
  return row != kTable.end() && row->m_type == type ? &*row : nullptr;
}

}  // namespace

std::span<const MessageTypeName> MessageTypeTable() noexcept { return kTable; }

std::string_view MessageTypeText(MessageType type) noexcept {
  const MessageTypeName* row = Find(type);
  return row != nullptr ? row->m_name : "unknown";
}

bool IsKnownMessageType(std::uint8_t number) noexcept { return Find(static_cast<MessageType>(number)) != nullptr; }

}  // namespace fighatch
