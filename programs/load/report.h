#ifndef FIGHATCH_PROGRAMS_LOAD_REPORT_H_
#define FIGHATCH_PROGRAMS_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "latency_histogram.h"

namespace fighatch::load {

/// What happened in one interval of the run.
struct TimelinePoint {
  std::uint64_t m_started = 0;
  std::uint64_t m_good = 0;
  std::uint64_t m_bad = 0;
};

/// What happened to the flows or requests of one service.
struct ServiceReport {
  std::string m_service;
  std::string m_kind;
  std::uint64_t m_started = 0;
  /// Flows: established. Requests: answered.
  std::uint64_t m_established = 0;
  std::uint64_t m_completed = 0;
  /// Flows that were established and then reset or silent.
  std::uint64_t m_broken = 0;
  /// Flows that never opened.
  std::uint64_t m_failed_to_open = 0;
  std::uint64_t m_not_run = 0;
  std::uint64_t m_unknown = 0;
  std::uint64_t m_no_answer = 0;
  std::uint64_t m_resends = 0;
  /// Answers that belong to another request, or segments of another target or service.
  std::uint64_t m_wrong_responses = 0;
  std::uint64_t m_malformed_responses = 0;
  /// Requests that are entries; the others are lookups.
  std::uint64_t m_entries_started = 0;
  std::uint64_t m_entries_completed = 0;
  /// Broken flows by the target that served them; the name is empty if no segment was answered yet.
  std::map<std::string, std::uint64_t> m_broken_by_target;
  /// Requests that were not answered by a target, by the number of the error.
  std::map<std::string, std::uint64_t> m_codes;
  /// Idempotency keys of entries that were answered "not run".
  std::vector<std::string> m_not_run_keys;
  /// From the intended start, so that a stalled tool does not hide latency (coordinated omission).
  LatencyHistogram m_latency;
  std::vector<TimelinePoint> m_timeline;
};

/// Length of a timeline interval.
inline constexpr std::chrono::milliseconds kTimelineInterval{250};

/// The timeline point for a time since the start of the run.
[[nodiscard]] TimelinePoint& TimelinePointAt(ServiceReport& report, std::chrono::nanoseconds since_start);

/// The reports as a JSON document.
[[nodiscard]] std::string ToJson(const std::vector<const ServiceReport*>& reports, std::chrono::nanoseconds duration);

/// An SVG plot of good and bad outcomes over time, one panel for each report.
[[nodiscard]] std::string ToSvg(const std::vector<const ServiceReport*>& reports);

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_REPORT_H_
