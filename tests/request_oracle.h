#ifndef FIGHATCH_REQUEST_ORACLE_H_
#define FIGHATCH_REQUEST_ORACLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "request_fakes.h"

namespace fighatch::testing {

/// Judges a run by what targets recorded and what callers got.
class RequestOracle {
 public:
  /// The whole answer of a target to a request with this content.
  [[nodiscard]] static std::string ExpectedBody(const std::string& content) {
    return "<" + content + "|" + std::string(content.size() * 7 % 400, '.') + ">";
  }

  /// A target runs a request. `key` is the request id, or for idempotent requests the caller's number.
  void OnRecord(const std::string& key, bool non_idempotent) {
    ++m_records[key];
    if (non_idempotent && m_records[key] > 1) Fail("recorded twice: " + key);
  }

  /// A caller gets an answer to the request with this key and content.
  void OnAnswer(const std::string& key, const std::string& content, const HttpResponse& answer) {
    const std::string outcome = HeaderValue(answer, "Fighatch-Outcome");
    const std::string code = HeaderValue(answer, "Fighatch-Code");
    ++m_outcomes[outcome];
    if (outcome == "not-run") m_not_run.insert(key);
    if (outcome == "answered" && code == "0") CheckTargetAnswer(key, content, answer);
    if (outcome == "answered" && code == "5008" && !answer.m_body.empty()) Fail("truncated answer: " + key);
    if (outcome != "answered" && outcome != "not-run" && outcome != "unknown") Fail("no outcome: " + key);
  }

  /// A balancer incarnation ended, by death or at the end of the run.
  void OnEngineEnd(const RequestStatistics& statistics) {
    if (statistics.m_retries * 10 > statistics.m_requests) Fail("retries above a tenth of the requests");
    m_retries += statistics.m_retries;
    m_requests += statistics.m_requests;
  }

  /// A balancer after all faults have ended and all deadlines have passed.
  void CheckQuiescent(const RequestEngine& engine, const FakeAllowance& allowance) {
    if (engine.CallsInProgress() != 0) Fail("requests held for ever");
    if (engine.ExchangesInProgress() != 0) Fail("exchanges held for ever");
    if (allowance.InUse() != 0) Fail("tokens held for ever");
    if (engine.JournalEntries() != 0) Fail("journal entries held for ever");
  }

  /// What is wrong with the run; empty if nothing is.
  [[nodiscard]] std::vector<std::string> Failures() const {
    std::vector<std::string> failures = m_failures;
    for (const std::string& key : m_not_run) {
      if (m_records.contains(key)) failures.push_back("said not run, but recorded: " + key);
    }
    return failures;
  }

  [[nodiscard]] std::size_t DoubleRecords() const {
    std::size_t doubles = 0;
    for (const auto& [key, count] : m_records) doubles += count > 1 ? 1 : 0;
    return doubles;
  }
  [[nodiscard]] std::size_t FalseRefusals() const {
    std::size_t refusals = 0;
    for (const std::string& key : m_not_run) refusals += m_records.contains(key) ? 1 : 0;
    return refusals;
  }
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Outcomes() const { return m_outcomes; }

  std::uint64_t m_requests = 0;
  std::uint64_t m_retries = 0;

 private:
  void CheckTargetAnswer(const std::string& key, const std::string& content, const HttpResponse& answer) {
    if (answer.m_body != ExpectedBody(content)) Fail("another or a truncated answer: " + key + ": " + answer.m_body);
    if (!m_records.contains(key)) Fail("answered, but not recorded: " + key);
  }
  void Fail(std::string failure) { m_failures.push_back(std::move(failure)); }

  std::map<std::string, std::uint64_t> m_records;
  std::set<std::string> m_not_run;
  std::map<std::string, std::uint64_t> m_outcomes;
  std::vector<std::string> m_failures;
};

}  // namespace fighatch::testing

#endif  // FIGHATCH_REQUEST_ORACLE_H_
