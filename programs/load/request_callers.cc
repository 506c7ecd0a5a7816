#include "request_callers.h"

#include <algorithm>
#include <utility>

namespace fighatch::load {
namespace {

using std::chrono::milliseconds;

// A spare id is used only while the issuer surely still accepts it.
constexpr std::chrono::seconds kSpareIdAge{20};
constexpr std::size_t kMaxSpareIds = 1024;
// How long after its deadline a request still waits for an answer.
constexpr milliseconds kGrace{1000};
constexpr std::size_t kMaxAnswerBytes = 20 * 1024;
constexpr int kStatusNeedsId = 428;

std::span<const std::byte> AsBytes(const std::string& text) { return std::as_bytes(std::span(text)); }

}  // namespace

RequestCallers::RequestCallers(const RequestWorkload& workload, CallerEndpoints* endpoints, PacketSink sink,
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
  while (const std::optional<Time> intended = m_schedule.TakeDue(now)) Open(*intended, now);
  while (!m_due.empty() && m_due.top().m_time <= now) {
    const Due due = m_due.top();
    m_due.pop();
    const auto found = m_pending.find(due.m_request);
    if (found == m_pending.end() || found->second.m_due != due.m_time) continue;
    if (now >= found->second.m_give_up) {
      ++m_report.m_no_answer;
      Finish(due.m_request, false, now);
      continue;
    }
    ++m_report.m_resends;
    Send(due.m_request, found->second, now);
  }
  Time next = m_schedule.Next();
  if (!m_due.empty()) next = std::min(next, m_due.top().m_time);
  return next;
}

void RequestCallers::Open(Time intended, Time now) {
  Pending pending;
  pending.m_source = m_endpoints->Next();
  pending.m_token = "t" + std::to_string(m_schedule.Taken()) + "-" + std::to_string(pending.m_source.m_port);
  pending.m_intended = intended;
  pending.m_give_up = intended + m_workload.m_deadline + kGrace;
  const bool is_entry = m_random.NextDouble() < m_workload.m_post_share;
  pending.m_request.m_method = is_entry ? "POST" : "GET";
  pending.m_request.m_path = is_entry ? "/entries" : "/lookup/" + std::to_string(m_schedule.Taken());
  SetHeader(&pending.m_request.m_headers, "X-Request-Id", pending.m_token);
  SetHeader(&pending.m_request.m_headers, "Request-Timeout", std::to_string(m_workload.m_deadline.count()));
  if (is_entry) {
    ++m_report.m_entries_started;
    pending.m_request.m_body = "entry " + pending.m_token;
    const std::string id = TakeSpareId(now);
    if (!id.empty()) SetHeader(&pending.m_request.m_headers, "Idempotency-Key", id);
  }
  ++m_report.m_started;
  ++TimelineAt(m_report, intended - m_schedule.Start()).m_started;
  const std::uint64_t id = FlowHash({pending.m_source, m_workload.m_address, Transport::kUdp});
  Send(id, m_pending.emplace(id, std::move(pending)).first->second, now);
}

std::string RequestCallers::TakeSpareId(Time now) {
  while (!m_spare_ids.empty()) {
    SpareId spare = std::move(m_spare_ids.front());
    m_spare_ids.pop_front();
    if (now - spare.m_received < kSpareIdAge) return std::move(spare.m_id);
  }
  return {};
}

void RequestCallers::Send(std::uint64_t id, Pending& pending, Time now) {
  m_sink(BuildUdpPacket(pending.m_source, m_workload.m_address, AsBytes(ToString(pending.m_request))));
  pending.m_due = now + m_workload.m_resend;
  m_due.push({pending.m_due, id});
}

bool RequestCallers::Receive(const InnerPacket& packet, Time now) {
  const std::uint64_t id = FlowHash({packet.m_key.m_destination, packet.m_key.m_source, Transport::kUdp});
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) return false;
  const auto parsed = ParseHttpResponse(packet.m_payload, kMaxAnswerBytes);
  if (!IsOk(parsed) || !ValueOf(parsed)) {
    ++m_report.m_truncated_answers;
    return true;
  }
  TakeAnswer(id, found->second, ValueOf(parsed)->m_message, now);
  return true;
}

void RequestCallers::TakeAnswer(std::uint64_t id, Pending& pending, const HttpResponse& response, Time now) {
  const auto token = FindHeader(response.m_headers, "X-Request-Id");
  if (pending.m_sent_again && token == pending.m_former_token) return;
  if (token != pending.m_token) {
    ++m_report.m_wrong_answers;
    return;
  }
  const std::string next_id(FindHeader(response.m_headers, "Idempotency-Key").value_or(""));
  if (response.m_status == kStatusNeedsId && !next_id.empty()) {
    // The same request goes out again, now with an id.
    if (FindHeader(pending.m_request.m_headers, "Idempotency-Key")) return;
    SetHeader(&pending.m_request.m_headers, "Idempotency-Key", next_id);
    return Send(id, pending, now);
  }
  const std::string_view outcome = FindHeader(response.m_headers, "Fighatch-Outcome").value_or("");
  // "Not run" is proof, so that a caller may send the entry again under the new id that came with the refusal.
  if (outcome == "not-run" && !next_id.empty() && !pending.m_sent_again &&
      now < pending.m_intended + m_workload.m_deadline && FindHeader(pending.m_request.m_headers, "Idempotency-Key")) {
    NoteRefusal(pending, response);
    return SendAgain(id, pending, next_id, now);
  }
  if (!next_id.empty() && m_spare_ids.size() < kMaxSpareIds) m_spare_ids.push_back({next_id, now});
  const bool is_good = outcome == "answered" && response.m_status < 300;
  if (outcome != "answered" && outcome != "not-run") CountCode(response);
  if (outcome == "not-run") {
    ++m_report.m_not_run;
    NoteRefusal(pending, response);
  } else if (outcome != "answered") {
    ++m_report.m_unknown;
  } else {
    CheckAnswer(pending, response);
    ++m_report.m_established;
    m_report.m_latency.Add(now - pending.m_intended);
  }
  Finish(id, is_good, now);
}

void RequestCallers::SendAgain(std::uint64_t id, Pending& pending, const std::string& next_id, Time now) {
  ++m_report.m_resends;
  pending.m_sent_again = true;
  // Another token, so that a late copy of the refusal is not taken for the answer to what is sent now.
  pending.m_former_token = std::exchange(pending.m_token, pending.m_token + "-again");
  SetHeader(&pending.m_request.m_headers, "X-Request-Id", pending.m_token);
  SetHeader(&pending.m_request.m_headers, "Idempotency-Key", next_id);
  Send(id, pending, now);
}

void RequestCallers::CountCode(const HttpResponse& response) {
  ++m_report.m_codes[std::string(FindHeader(response.m_headers, "Fighatch-Code").value_or(""))];
}

void RequestCallers::NoteRefusal(const Pending& pending, const HttpResponse& response) {
  CountCode(response);
  const auto key = FindHeader(pending.m_request.m_headers, "Idempotency-Key");
  if (key) m_report.m_not_run_keys.emplace_back(*key);
}

void RequestCallers::CheckAnswer(const Pending& pending, const HttpResponse& response) {
  if (response.m_status >= 300) return;
  const std::string end = pending.m_request.m_method + " " + pending.m_request.m_path + " " + pending.m_token + "\n";
  if (!response.m_body.starts_with(m_workload.m_service + " ") || !response.m_body.ends_with(end)) {
    ++m_report.m_wrong_answers;
  }
}

void RequestCallers::Finish(std::uint64_t id, bool good, Time now) {
  if (good) ++m_report.m_completed;
  if (good && m_pending.at(id).m_request.m_method == "POST") ++m_report.m_entries_completed;
  TimelinePoint& point = TimelineAt(m_report, now - m_schedule.Start());
  ++(good ? point.m_good : point.m_bad);
  m_pending.erase(id);
}

void RequestCallers::GiveUp(Time now) {
  while (!m_pending.empty()) {
    ++m_report.m_no_answer;
    Finish(m_pending.begin()->first, false, now);
  }
}

}  // namespace fighatch::load
