#ifndef FIGHATCH_PROGRAMS_TARGET_RECORD_SERVER_H_
#define FIGHATCH_PROGRAMS_TARGET_RECORD_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "fighatch/http_message.h"
#include "target_settings.h"

namespace fighatch::target {

/// Counters of requests and records, served by `GET /v1/stats`.
struct RecordCounters {
  std::uint64_t m_requests = 0;
  std::uint64_t m_shed_requests = 0;
  std::uint64_t m_records = 0;
  /// Records beyond the first under one idempotency key.
  std::uint64_t m_duplicate_records = 0;
  /// Requests that raised the number in progress above the capacity of a cold target.
  std::uint64_t m_overloads = 0;
  std::uint32_t m_peak_in_progress = 0;
};

/// Simulates the server program of a target in request mode: lookups by GET, records by POST, with few slots and a slow
/// cold start. It sheds requests that find no free slot with status 503, before anything is recorded.
class RecordServer {
 public:
  explicit RecordServer(const TargetSettings& settings);

  /// Serves a request of a caller; suspends the fiber for the service time.
  [[nodiscard]] HttpResponse Handle(const HttpRequest& request);

  /// Starts a cold period of the configured warm-up time, as after a restart, without telling the balancers.
  void ResetToCold();

  [[nodiscard]] std::uint32_t InProgress() const noexcept { return m_in_progress; }
  /// Records by idempotency key.
  [[nodiscard]] const std::unordered_map<std::string, std::uint32_t>& Records() const noexcept { return m_records; }
  [[nodiscard]] const RecordCounters& Counters() const noexcept { return m_counters; }

 private:
  [[nodiscard]] bool IsCold() const;
  void Record(const HttpRequest& request);

  TargetSettings m_settings;
  std::chrono::steady_clock::time_point m_cold_until;
  std::uint32_t m_in_progress = 0;
  std::unordered_map<std::string, std::uint32_t> m_records;
  RecordCounters m_counters;
};

}  // namespace fighatch::target

#endif  // FIGHATCH_PROGRAMS_TARGET_RECORD_SERVER_H_
