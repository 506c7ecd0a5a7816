#ifndef FIGHATCH_PROGRAMS_TARGET_RECORD_SERVER_H_
#define FIGHATCH_PROGRAMS_TARGET_RECORD_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "fighatch/http_message.h"
#include "target_settings.h"

namespace fighatch::target {

/// Counters of the record server.
struct RecordCounters {
  std::uint64_t m_requests = 0;
  std::uint64_t m_shed_requests = 0;
  std::uint64_t m_records = 0;
  /// Records beyond the first under one idempotency key.
  std::uint64_t m_duplicate_records = 0;
  /// Requests that found more in progress than the target can bear while it is cold.
  std::uint64_t m_overloads = 0;
  std::uint32_t m_peak_in_progress = 0;
};

/// The server program of a record service: lookups by GET, records by POST, with few slots and a cold start. It sheds
/// what finds no free slot, before anything is recorded.
class RecordServer {
 public:
  explicit RecordServer(const TargetSettings& settings);

  /// Answers a request of a caller; suspends the fiber for the service time.
  [[nodiscard]] HttpResponse Handle(const HttpRequest& request);

  /// Falls back to cold start without notice.
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
