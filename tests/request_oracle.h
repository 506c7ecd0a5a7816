#ifndef FIGHATCH_REQUEST_ORACLE_H_
#define FIGHATCH_REQUEST_ORACLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "request_fakes.h"

namespace fighatch::testing {

/// Test oracle: checks a run by the requests that targets ran and the answers that callers got.
class RequestOracle {
 public:
  /// The body of a target's answer to a request with this content.
  [[nodiscard]] static std::string ExpectedBody(const std::string& content) {
    return "<" + content + "|" + std::string(content.size() * 7 % 400, '.') + ">";
  }

  /// A target runs a request. `key` is the request id, or the number of the request if it is idempotent.
  void OnRecord(const std::string& key, bool non_idempotent) {
    ++m_records[key];
    if (non_idempotent && m_records[key] > 1) Fail("run twice: " + key);
  }

  /// A caller gets an answer to the request with this key and content.
  void OnAnswer(const std::string& key, const std::string& content, const HttpResponse& answer) {
    const std::string outcome = HeaderValue(answer, "Fighatch-Outcome");
    const std::string code = HeaderValue(answer, "Fighatch-Code");
    ++m_outcomes[outcome];
    if (outcome == "not-run") m_not_run.insert(key);
    if (outcome == "answered" && code == "0") CheckTargetAnswer(key, content, answer);
    if (outcome == "answered" && code == "5008" && !answer.m_body.empty()) Fail("truncated answer: " + key);
    if (outcome != "answered" && outcome != "not-run" && outcome != "unknown") Fail("bad outcome: " + key);
  }

  /// An engine ended, by a crash, by a planned stop or at the end of the run.
  void OnEngineEnd(const RequestStatistics& statistics) {
    if (statistics.m_retries * 10 > statistics.m_requests) Fail("retries above a tenth of the requests");
    m_retries += statistics.m_retries;
    m_requests += statistics.m_requests;
  }

  /// Checks that an engine holds nothing after all faults have ended and all deadlines have passed.
  void CheckQuiescent(const RequestEngine& engine, const FakeAllowance& allowance) {
    if (engine.CallsInProgress() != 0) Fail("requests still in progress at the end of the run");
    if (engine.ExchangesInProgress() != 0) Fail("exchanges still in progress at the end of the run");
    if (allowance.InUse() != 0) Fail("tokens still in use at the end of the run");
    if (engine.JournalEntries() != 0) Fail("journal entries not expired at the end of the run");
  }

  /// Violations found in the run; empty if there are none.
  [[nodiscard]] std::vector<std::string> Failures() const {
    std::vector<std::string> failures = m_failures;
    for (const std::string& key : m_not_run) {
      if (m_records.contains(key)) failures.push_back("answered \"not run\", but run by a target: " + key);
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
    if (answer.m_body != ExpectedBody(content)) Fail("wrong or truncated answer: " + key + ": " + answer.m_body);
    if (!m_records.contains(key)) Fail("answered, but not run by a target: " + key);
  }
  void Fail(std::string failure) { m_failures.push_back(std::move(failure)); }

  std::map<std::string, std::uint64_t> m_records;
  std::set<std::string> m_not_run;
  std::map<std::string, std::uint64_t> m_outcomes;
  std::vector<std::string> m_failures;
};

}  // namespace fighatch::testing

#endif  // FIGHATCH_REQUEST_ORACLE_H_
