#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "config/json_reader.h"
#include "fighatch/hash.h"
#include "request/engine_state.h"
#include "request/limits.h"

namespace fighatch {
namespace {

constexpr std::string_view kIssuePath = "/.well-known/fighatch/request-id";
constexpr std::string_view kCancelPrefix = "/.well-known/fighatch/request/";
constexpr std::uint64_t kMaxIdsPerRequest = 64;
/// Allows the path of a request whose id was handed over: the stopping issuer, then its successor, which may be
/// stopping too.
constexpr std::uint8_t kMaxForwardHops = 3;

Result<Duration> TimeoutOf(const HttpRequest& request) {
  const auto text = FindHeader(request.m_headers, "Request-Timeout");
  if (!text) return kDefaultRequestTimeout;
  std::uint32_t milliseconds = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), milliseconds);
  if (error != std::errc() || end != text->data() + text->size()) {
    return MakeError(ErrorCode::kRequestMalformed, "Request-Timeout");
  }
  return std::min<Duration>(std::chrono::milliseconds(milliseconds), kMaxRequestTimeout);
}

std::uint64_t FingerprintOf(const IncomingRequest& incoming) {
  const HttpRequest& request = incoming.m_request;
  const std::uint64_t target = HashText(request.m_path, HashText(request.m_method, incoming.m_service.m_value));
  return HashText(request.m_body, target);
}

Result<std::uint64_t> IdCountOf(const std::string& body) {
  if (body.empty()) return std::uint64_t{1};
  const Result<nlohmann::json> json = config::ParseJson(body);
  if (!IsOk(json)) return ErrorOf(json);
  std::uint64_t count = 1;
  config::ObjectReader reader(ValueOf(json), "");
  reader.OptionalUnsigned("count", 1, kMaxIdsPerRequest, &count);
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return count;
}

}  // namespace

void RequestEngineState::On(CallerRequest event) {
  CallerWaiter waiter{event.m_caller, event.m_service_address, {}};
  if (const auto correlation = FindHeader(event.m_request.m_headers, "X-Request-Id")) {
    if (correlation->size() > kMaxCorrelationBytes) return Reply(waiter, MakeErrorAnswer(ErrorCode::kRequestMalformed));
    waiter.m_correlation = std::string(*correlation);
  }
  const Result<Duration> timeout = TimeoutOf(event.m_request);
  if (!IsOk(timeout)) return Reply(waiter, MakeErrorAnswer(ErrorCode::kRequestMalformed));
  HandleRequest({event.m_service, std::move(event.m_request), std::move(waiter), m_now + ValueOf(timeout), 0});
}

void RequestEngineState::On(const MalformedDatagram& event) {
  Reply(CallerWaiter{event.m_caller, event.m_service_address, {}}, MakeErrorAnswer(event.m_code));
}

void RequestEngineState::On(ForwardedRequest event) {
  const PeerWaiter waiter{event.m_origin, event.m_origin_incarnation, event.m_forward_id};
  const Duration time_left = std::clamp<Duration>(Duration(event.m_time_left_ns), Duration{}, kMaxRequestTimeout);
  HandleRequest({event.m_service, std::move(event.m_request), waiter, m_now + time_left, event.m_hops});
}

void RequestEngineState::HandleRequest(IncomingRequest incoming) {
  if (m_calls.size() >= m_settings.m_call_limit) return Reply(incoming.m_waiter, OverloadAnswer(incoming));
  const HttpRequest& request = incoming.m_request;
  if (request.m_method == "DELETE" && request.m_path.starts_with(kCancelPrefix)) {
    const std::string text = request.m_path.substr(kCancelPrefix.size());
    return HandleCancellation(std::move(incoming), text);
  }
  if (request.m_method == "POST" && request.m_path == kIssuePath) {
    if (!PassToSuccessor(incoming)) IssueIds(incoming);
    return;
  }
  ServiceState* service = FindService(incoming.m_service);
  if (service == nullptr) return Reply(incoming.m_waiter, MakeErrorAnswer(ErrorCode::kRequestNoTarget));
  if (service->IsIdempotent(request)) return HandleIdempotent(std::move(incoming));
  HandleNonIdempotent(std::move(incoming), *service);
}

RequestAnswer RequestEngineState::OverloadAnswer(const IncomingRequest& incoming) {
  // A request with an id may be in the journal already, or may be dispatched when it is resent.
  const bool has_id = FindHeader(incoming.m_request.m_headers, "Idempotency-Key").has_value();
  const bool cancels = incoming.m_request.m_method == "DELETE";
  return has_id || cancels ? MakeUnknownAnswer() : MakeErrorAnswer(ErrorCode::kRequestOverloaded);
}

void RequestEngineState::HandleIdempotent(IncomingRequest incoming) {
  if (PassToSuccessor(incoming)) return;
  Enqueue(AddCall(std::move(incoming), CallPhase::kQueued));
}

void RequestEngineState::HandleNonIdempotent(IncomingRequest incoming, ServiceState& /*service*/) {
  const auto text = FindHeader(incoming.m_request.m_headers, "Idempotency-Key");
  if (!text) {
    if (!PassToSuccessor(incoming)) Reply(incoming.m_waiter, MakeErrorAnswer(ErrorCode::kRequestIdMissing));
    return;
  }
  const Result<RequestId> id = m_codec.Parse(*text);
  if (!IsOk(id)) return Reply(incoming.m_waiter, MakeErrorAnswer(ErrorCode::kRequestIdInvalid));
  const OwnerRoute route = m_ownership.Find(ValueOf(id));
  if (route.m_kind == OwnerRoute::Kind::kLocal) return HandleOwned(std::move(incoming), ValueOf(id));
  if (route.m_kind == OwnerRoute::Kind::kNobody) return Reply(incoming.m_waiter, MakeUnknownAnswer());
  ForwardTo(route.m_host, std::move(incoming));
}

void RequestEngineState::HandleOwned(IncomingRequest incoming, const RequestId& id) {
  if (const JournalEntry* entry = m_journal.Find(id)) return HandleJournaled(std::move(incoming), id, *entry);
  const IssuerIncarnation issuer(id.m_issuer, id.m_incarnation);
  if (m_outbox.WasHandedOver(issuer)) {
    if (!PassToSuccessor(incoming)) Reply(incoming.m_waiter, MakeUnknownAnswer());
    return;
  }
  if (m_ownership.IssuerClock(issuer, m_now) >= ValidUntil(id)) return Reply(incoming.m_waiter, MakeUnknownAnswer());
  StartNonIdempotent(std::move(incoming), id);
}

void RequestEngineState::HandleJournaled(IncomingRequest incoming, const RequestId& id, const JournalEntry& entry) {
  // A refused id stays refused for any content. In other states, different content must not get the answer to the first
  // request.
  if (entry.m_state != JournalState::kRefused && entry.m_fingerprint != FingerprintOf(incoming)) {
    return Reply(incoming.m_waiter, MakeErrorAnswer(ErrorCode::kRequestIdInvalid));
  }
  if (IsFinal(entry.m_state)) return Reply(incoming.m_waiter, AnswerOf(entry));
  if (Call* call = FindLocalCall(id)) return AddCallWaiter(*call, std::move(incoming.m_waiter));
  Call& call = AddCall(std::move(incoming), CallPhase::kAwaitingHandover);
  call.m_request_id = id;
  m_by_request_id[id] = call.m_id;
  SetCallTimeout(call, call.m_deadline);
}

void RequestEngineState::StartNonIdempotent(IncomingRequest incoming, const RequestId& id) {
  const Duration valid = ValidUntil(id) - m_ownership.IssuerClock({id.m_issuer, id.m_incarnation}, m_now);
  const bool has_room = m_journal.HasRoomForResponse();
  JournalEntry* entry = m_journal.Insert(id, FingerprintOf(incoming), m_now + valid + kJournalRetention);
  // Without a journal entry a resend might be dispatched, so the answer must not be "not run".
  if (entry == nullptr) return Reply(incoming.m_waiter, MakeUnknownAnswer());
  Call& call = AddCall(std::move(incoming), CallPhase::kQueued);
  call.m_request_id = id;
  m_by_request_id[id] = call.m_id;
  if (!has_room) return Finish(call, MakeErrorAnswer(ErrorCode::kRequestOverloaded));
  Enqueue(call);
}

void RequestEngineState::IssueIds(const IncomingRequest& incoming) {
  const Result<std::uint64_t> count = IdCountOf(incoming.m_request.m_body);
  if (!IsOk(count)) return Reply(incoming.m_waiter, MakeErrorAnswer(ErrorCode::kRequestMalformed));
  if (IsStopping()) return Reply(incoming.m_waiter, MakeErrorAnswer(ErrorCode::kRequestOverloaded));
  nlohmann::json ids = nlohmann::json::array();
  for (std::uint64_t index = 0; index < ValueOf(count); ++index) {
    ids.push_back(m_codec.Format(m_issuer.Issue(m_now)));
  }
  RequestAnswer answer;
  answer.m_outcome = Outcome::kAnswered;
  answer.m_response.m_headers.push_back({"Content-Type", "application/json"});
  answer.m_response.m_body = nlohmann::json{{"ids", std::move(ids)}}.dump();
  Reply(incoming.m_waiter, answer);
}

void RequestEngineState::ForwardTo(HostId host, IncomingRequest incoming) {
  if (incoming.m_hops >= kMaxForwardHops) return Reply(incoming.m_waiter, MakeUnknownAnswer());
  // The other balancer answers at the deadline at the latest. The grace period covers the transmission of that answer.
  constexpr Duration kAnswerGrace = std::chrono::milliseconds(50);
  Call& call = AddCall(std::move(incoming), CallPhase::kForwarded);
  call.m_peer = host;
  const Duration time_left = call.m_deadline - m_now;
  m_actions.push_back(
      SendForward{host,
                  {m_settings.m_host, m_settings.m_incarnation, call.m_id, static_cast<std::uint8_t>(call.m_hops + 1),
                   call.m_service, time_left.count(), call.m_request}});
  call.m_deadline += kAnswerGrace;
  SetCallTimeout(call, call.m_deadline);
}

bool RequestEngineState::PassToSuccessor(IncomingRequest& incoming) {
  if (!IsStopping() || !m_successor_alive || incoming.m_hops >= kMaxForwardHops) return false;
  ForwardTo(*m_successor, std::move(incoming));
  return true;
}

}  // namespace fighatch
