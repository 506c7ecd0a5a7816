#include "request_callers.h"

#include <algorithm>
#include <utility>

namespace fighatch::load {
namespace {

using std::chrono::milliseconds;

// A request id is valid for 30 s. One that was stored for use in a later entry is discarded before, so that its issuer
// surely still accepts it.
constexpr std::chrono::seconds kMaxUnusedKeyAge{20};
constexpr std::size_t kMaxUnusedKeys = 1024;
// How long after its deadline a request still waits for a response.
constexpr milliseconds kResponseGracePeriod{1000};
constexpr std::size_t kMaxHttpResponseBytes = 20 * 1024;
constexpr int kStatusPreconditionRequired = 428;

std::span<const std::byte> AsBytes(const std::string& text) { return std::as_bytes(std::span(text)); }

}  // namespace

RequestCallers::RequestCallers(const RequestWorkload& workload, CallerEndpointAllocator* endpoints, PacketSink sink,
                               std::uint64_t seed, Time start, Time stop)
    : m_workload(workload),
      m_endpoints(endpoints),
      m_sink(std::move(sink)),
      m_random(seed),
      m_schedule(workload.m_rate, start, stop) {
  m_report.m_service = workload.m_service;
  m_report.m_kind = "request";
}

RequestCallers::Time RequestCallers::Advance(Time now) {
  while (const std::optional<Time> intended = m_schedule.TakeDue(now)) StartRequest(*intended, now);
  while (!m_timers.empty() && m_timers.top().m_time <= now) {
    const Timer timer = m_timers.top();
    m_timers.pop();
    const auto found = m_pending.find(timer.m_request);
    if (found == m_pending.end() || found->second.m_timer_due != timer.m_time) continue;
    if (now >= found->second.m_response_deadline) {
      ++m_report.m_no_answer;
      Finish(timer.m_request, false, now);
      continue;
    }
    ++m_report.m_resends;
    Send(timer.m_request, found->second, now);
  }
  Time next = m_schedule.Next();
  if (!m_timers.empty()) next = std::min(next, m_timers.top().m_time);
  return next;
}

void RequestCallers::StartRequest(Time intended, Time now) {
  PendingRequest pending;
  pending.m_source = m_endpoints->Next();
  pending.m_token = "t" + std::to_string(m_schedule.TakenCount()) + "-" + std::to_string(pending.m_source.m_port);
  pending.m_intended_start = intended;
  pending.m_response_deadline = intended + m_workload.m_deadline + kResponseGracePeriod;
  const bool is_entry = m_random.NextDouble() < m_workload.m_post_share;
  pending.m_request.m_method = is_entry ? "POST" : "GET";
  pending.m_request.m_path = is_entry ? "/entries" : "/lookup/" + std::to_string(m_schedule.TakenCount());
  SetHeader(&pending.m_request.m_headers, "X-Request-Id", pending.m_token);
  SetHeader(&pending.m_request.m_headers, "Request-Timeout", std::to_string(m_workload.m_deadline.count()));
  if (is_entry) {
    ++m_report.m_entries_started;
    pending.m_request.m_body = "entry " + pending.m_token;
    const std::string key = TakeUnusedKey(now);
    if (!key.empty()) SetHeader(&pending.m_request.m_headers, "Idempotency-Key", key);
  }
  ++m_report.m_started;
  ++TimelinePointAt(m_report, intended - m_schedule.Start()).m_started;
  const std::uint64_t id = FlowHash({pending.m_source, m_workload.m_address, Transport::kUdp});
  Send(id, m_pending.emplace(id, std::move(pending)).first->second, now);
}

std::string RequestCallers::TakeUnusedKey(Time now) {
  while (!m_unused_keys.empty()) {
    UnusedKey unused = std::move(m_unused_keys.front());
    m_unused_keys.pop_front();
    if (now - unused.m_received < kMaxUnusedKeyAge) return std::move(unused.m_key);
  }
  return {};
}

void RequestCallers::Send(std::uint64_t id, PendingRequest& pending, Time now) {
  m_sink(BuildUdpPacket(pending.m_source, m_workload.m_address, AsBytes(ToString(pending.m_request))));
  pending.m_timer_due = now + m_workload.m_resend_timeout;
  m_timers.push({pending.m_timer_due, id});
}

bool RequestCallers::Receive(const InnerPacket& packet, Time now) {
  const std::uint64_t id = FlowHash({packet.m_key.m_destination, packet.m_key.m_source, Transport::kUdp});
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) return false;
  const auto parsed = ParseHttpResponse(packet.m_payload, kMaxHttpResponseBytes);
  if (!IsOk(parsed) || !ValueOf(parsed)) {
    ++m_report.m_malformed_responses;
    return true;
  }
  HandleResponse(id, found->second, ValueOf(parsed)->m_message, now);
  return true;
}

void RequestCallers::HandleResponse(std::uint64_t id, PendingRequest& pending, const HttpResponse& response, Time now) {
  const auto token = FindHeader(response.m_headers, "X-Request-Id");
  if (pending.m_is_retry && token == pending.m_previous_token) return;
  if (token != pending.m_token) {
    ++m_report.m_wrong_responses;
    return;
  }
  const std::string next_key(FindHeader(response.m_headers, "Idempotency-Key").value_or(""));
  if (response.m_status == kStatusPreconditionRequired && !next_key.empty()) {
    // The balancer refuses entries without a request id; send the same request again with the id that it issued.
    if (FindHeader(pending.m_request.m_headers, "Idempotency-Key")) return;
    SetHeader(&pending.m_request.m_headers, "Idempotency-Key", next_key);
    return Send(id, pending, now);
  }
  const std::string_view outcome = FindHeader(response.m_headers, "Fighatch-Outcome").value_or("");
  // "not-run" guarantees that no target ran the entry, so the caller may send it again under the id issued in the
  // response.
  if (outcome == "not-run" && !next_key.empty() && !pending.m_is_retry &&
      now < pending.m_intended_start + m_workload.m_deadline &&
      FindHeader(pending.m_request.m_headers, "Idempotency-Key")) {
    RecordNotRunResponse(pending, response);
    return RetryWithNewKey(id, pending, next_key, now);
  }
  if (!next_key.empty() && m_unused_keys.size() < kMaxUnusedKeys) m_unused_keys.push_back({next_key, now});
  const bool succeeded = outcome == "answered" && response.m_status < 300;
  if (outcome != "answered" && outcome != "not-run") CountErrorCode(response);
  if (outcome == "not-run") {
    ++m_report.m_not_run;
    RecordNotRunResponse(pending, response);
  } else if (outcome != "answered") {
    ++m_report.m_unknown;
  } else {
    CheckResponse(pending, response);
    ++m_report.m_established;
    m_report.m_latency.Add(now - pending.m_intended_start);
  }
  Finish(id, succeeded, now);
}

void RequestCallers::RetryWithNewKey(std::uint64_t id, PendingRequest& pending, const std::string& next_key, Time now) {
  ++m_report.m_resends;
  pending.m_is_retry = true;
  // A new token keeps a late copy of the "not-run" response from being taken for the response to the retry.
  pending.m_previous_token = std::exchange(pending.m_token, pending.m_token + "-again");
  SetHeader(&pending.m_request.m_headers, "X-Request-Id", pending.m_token);
  SetHeader(&pending.m_request.m_headers, "Idempotency-Key", next_key);
  Send(id, pending, now);
}

void RequestCallers::CountErrorCode(const HttpResponse& response) {
  ++m_report.m_error_codes[std::string(FindHeader(response.m_headers, "Fighatch-Code").value_or(""))];
}

void RequestCallers::RecordNotRunResponse(const PendingRequest& pending, const HttpResponse& response) {
  CountErrorCode(response);
  const auto key = FindHeader(pending.m_request.m_headers, "Idempotency-Key");
  if (key) m_report.m_not_run_keys.emplace_back(*key);
}

void RequestCallers::CheckResponse(const PendingRequest& pending, const HttpResponse& response) {
  if (response.m_status >= 300) return;
  const std::string expected_suffix =
      pending.m_request.m_method + " " + pending.m_request.m_path + " " + pending.m_token + "\n";
  if (!response.m_body.starts_with(m_workload.m_service + " ") || !response.m_body.ends_with(expected_suffix)) {
    ++m_report.m_wrong_responses;
  }
}

void RequestCallers::Finish(std::uint64_t id, bool succeeded, Time now) {
  if (succeeded) ++m_report.m_completed;
  if (succeeded && m_pending.at(id).m_request.m_method == "POST") ++m_report.m_entries_completed;
  TimelinePoint& point = TimelinePointAt(m_report, now - m_schedule.Start());
  ++(succeeded ? point.m_succeeded : point.m_failed);
  m_pending.erase(id);
}

void RequestCallers::FailUnfinished(Time now) {
  while (!m_pending.empty()) {
    ++m_report.m_no_answer;
    Finish(m_pending.begin()->first, false, now);
  }
}

}  // namespace fighatch::load
