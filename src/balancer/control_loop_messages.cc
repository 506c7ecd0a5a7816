// Message handlers and target health checks of the control loop.

#include <glog/logging.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <utility>

#include "balancer/control_loop.h"
#include "io/http_client.h"
#include "wire/codec.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHealthCheckInterval{500};
constexpr milliseconds kHealthCheckTimeout{400};

// Calls `use` with the decoded payload. A message that did not decode is logged and dropped.
template <typename T, typename Use>
void HandlePayload(const Envelope& message, Result<T> decoded, const Use& use) {
  if (IsOk(decoded)) return use(ValueOf(decoded));
  LOG_EVERY_N(WARNING, 100) << "event=message_refused type=" << MessageTypeText(message.m_header.m_type)
                            << " host=" << message.m_header.m_sender.m_value << " " << ToString(ErrorOf(decoded));
}

}  // namespace

const ControlLoop::HandlerEntry ControlLoop::kHandlers[] = {
    {MessageType::kTableUpdate, &ControlLoop::OnTableUpdateMessage},
    {MessageType::kTableAck, &ControlLoop::OnTableAckMessage},
    {MessageType::kTargetFacts, &ControlLoop::OnTargetFactsMessage},
    {MessageType::kLeaseRequest, &ControlLoop::OnLeaseRequestMessage},
    {MessageType::kLeaseGrant, &ControlLoop::OnLeaseGrantMessage},
    {MessageType::kFlowRecords, &ControlLoop::OnFlowRecordsMessage},
    {MessageType::kFlowRecordsAck, &ControlLoop::OnFlowRecordsAckMessage},
    {MessageType::kRequestForward, &ControlLoop::OnRequestForwardMessage},
    {MessageType::kRequestAnswer, &ControlLoop::OnRequestAnswerMessage},
    {MessageType::kHandover, &ControlLoop::OnHandoverMessage},
    {MessageType::kHandoverAck, &ControlLoop::OnHandoverAckMessage},
    {MessageType::kSuccessorNotice, &ControlLoop::OnSuccessorMessage},
};

bool ControlLoop::OnMessage(const Envelope& message, const Endpoint& source) {
  const TimePoint now = DataPlane::Now();
  m_peer_heard = now;
  const MessageType type = message.m_header.m_type;
  if (Membership::Handles(type)) {
    const Result<MembershipActions> actions =
        m_membership.Receive(now, message.m_header.m_sender, source, type, message.m_payload);
    HandlePayload(message, actions, [&](const MembershipActions& value) { Execute(value, now); });
    return true;
  }
  const auto row = std::find_if(std::begin(kHandlers), std::end(kHandlers),
                                [type](const HandlerEntry& entry) { return entry.m_type == type; });
  if (row == std::end(kHandlers)) return false;
  (this->*row->m_handler)(message);
  return true;
}

void ControlLoop::OnTableUpdateMessage(const Envelope& message) {
  HandlePayload(message, wire::Decode<TableUpdate>(message.m_payload),
                [&](const TableUpdate& update) { ApplyTableUpdate(update, message.m_header.m_sender); });
}

void ControlLoop::OnTableAckMessage(const Envelope& message) {
  HandlePayload(message, wire::Decode<TableAck>(message.m_payload), [&](TableAck& ack) {
    // The authenticated sender counts, not the host id in the payload.
    ack.m_host = message.m_header.m_sender;
    m_coordinator.OnAck(ack, DataPlane::Now());
  });
}

void ControlLoop::OnTargetFactsMessage(const Envelope& message) {
  HandlePayload(message, wire::Decode<TargetFacts>(message.m_payload),
                [&](const TargetFacts& facts) { m_registry.Merge(facts, DataPlane::Now()); });
}

void ControlLoop::OnLeaseRequestMessage(const Envelope& message) {
  HandlePayload(message, wire::Decode<LeaseRequest>(message.m_payload), [&](const LeaseRequest& request) {
    if (request.m_holder != message.m_header.m_sender) return;
    const std::optional<LeaseGrant> grant = m_coordinator.OnLeaseRequest(request, DataPlane::Now());
    if (grant) m_dependencies.m_links->Send(message.m_header.m_sender, MessageType::kLeaseGrant, wire::Encode(*grant));
  });
}

void ControlLoop::OnLeaseGrantMessage(const Envelope& message) {
  HandlePayload(message, wire::Decode<LeaseGrant>(message.m_payload), [&](const LeaseGrant& grant) {
    const TimePoint now = DataPlane::Now();
    m_allowance.OnGrant(grant, now);
    if (message.m_header.m_sender == m_coordinator.Elected()) m_table_confirmed = now;
    if (m_request_driver != nullptr) m_request_driver->Handle(AllowanceChanged{});
  });
}

void ControlLoop::OnFlowRecordsMessage(const Envelope& message) {
  HandlePayload(message, DecodeFlowRecords(message.m_payload), [&](FlowRecordsMessage& records) {
    records.m_sender = message.m_header.m_sender;
    const FlowRecordsAck ack = m_dependencies.m_data_plane->OnRecords(records);
    m_dependencies.m_links->Send(records.m_sender, MessageType::kFlowRecordsAck, EncodeFlowRecordsAck(ack));
  });
}

void ControlLoop::OnFlowRecordsAckMessage(const Envelope& message) {
  HandlePayload(message, DecodeFlowRecordsAck(message.m_payload),
                [&](const FlowRecordsAck& ack) { m_dependencies.m_data_plane->OnAck(ack); });
}

void ControlLoop::OnRequestForwardMessage(const Envelope& message) {
  if (m_request_driver == nullptr) return;
  HandlePayload(message, DecodeForwardedRequest(message.m_payload),
                [&](ForwardedRequest& request) { m_request_driver->Handle(std::move(request)); });
}

void ControlLoop::OnRequestAnswerMessage(const Envelope& message) {
  if (m_request_driver == nullptr) return;
  HandlePayload(message, DecodeForwardedAnswer(message.m_payload),
                [&](ForwardedAnswer& answer) { m_request_driver->Handle(std::move(answer)); });
}

void ControlLoop::OnHandoverMessage(const Envelope& message) {
  if (m_request_driver == nullptr) return;
  HandlePayload(message, DecodeHandover(message.m_payload),
                [&](Handover& handover) { m_request_driver->Handle(std::move(handover)); });
}

void ControlLoop::OnHandoverAckMessage(const Envelope& message) {
  if (m_request_driver == nullptr) return;
  HandlePayload(message, DecodeHandoverAck(message.m_payload),
                [&](const HandoverAck& ack) { m_request_driver->Handle(ack); });
}

void ControlLoop::OnSuccessorMessage(const Envelope& message) {
  if (m_request_driver == nullptr) return;
  HandlePayload(message, DecodeSuccessorNotice(message.m_payload),
                [&](const SuccessorNotice& notice) { m_request_driver->Handle(notice); });
}

void ControlLoop::TickHealthChecks(TimePoint now) {
  if (now < m_next_health_check) return;
  m_next_health_check = now + kHealthCheckInterval;
  for (const TargetRecord* record : m_registry.Live()) {
    const TargetInfo& info = record->m_fact.m_info;
    // The ramp needs one successful check. Later failures are detected by refused connections, shed requests and
    // missing announcements.
    if (record->m_fact.m_healthy) continue;
    CheckTarget(info.m_id, info.m_incarnation, info.m_http_endpoint);
  }
}

void ControlLoop::CheckTarget(TargetId target, Incarnation incarnation, const Endpoint& endpoint) {
  boost::fibers::fiber([this, target, incarnation, endpoint] {
    HttpRequest request;
    request.m_path = "/health";
    const auto deadline = std::chrono::steady_clock::now() + kHealthCheckTimeout;
    const Result<HttpResponse> response = io::HttpExchange(endpoint, request, deadline);
    m_registry.OnHealthCheck(target, incarnation, IsOk(response));
  }).detach();
}

}  // namespace fighatch::daemon
