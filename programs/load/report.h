#ifndef FIGHATCH_PROGRAMS_LOAD_REPORT_H_
#define FIGHATCH_PROGRAMS_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "latency_histogram.h"

namespace fighatch::load {

/// Counts of one interval of the run: flows or requests started, segments or requests answered successfully,
/// and failures.
struct TimelinePoint {
  std::uint64_t m_started = 0;
  std::uint64_t m_succeeded = 0;
  std::uint64_t m_failed = 0;
};

/// Results of the workload of one service.
struct ServiceReport {
  std::string m_service;
  /// "flow" or "request".
  std::string m_kind;
  std::uint64_t m_started = 0;
  /// Flows that were established, or requests that a target answered.
  std::uint64_t m_established = 0;
  std::uint64_t m_completed = 0;
  /// Flows that were reset or got no response after they were established.
  std::uint64_t m_broken = 0;
  /// Flows that were never established.
  std::uint64_t m_failed_to_open = 0;
  /// Requests that were answered "not run".
  std::uint64_t m_not_run = 0;
  /// Requests whose response leaves open whether a target ran them.
  std::uint64_t m_unknown = 0;
  /// Requests that got no response before the grace period after their deadline, or the run, ended.
  std::uint64_t m_no_answer = 0;
  std::uint64_t m_resends = 0;
  /// Responses that belong to another request, or segments from another target or service.
  std::uint64_t m_wrong_responses = 0;
  /// Responses that are incomplete or do not parse.
  std::uint64_t m_malformed_responses = 0;
  /// Requests that are non-idempotent entries; the others are lookups.
  std::uint64_t m_entries_started = 0;
  std::uint64_t m_entries_completed = 0;
  /// Broken flows by the name of the target that served them; empty if the target was not known yet.
  std::map<std::string, std::uint64_t> m_broken_by_target;
  /// Requests that no target answered, by error code.
  std::map<std::string, std::uint64_t> m_error_codes;
  /// Idempotency keys of entries that were answered "not run".
  std::vector<std::string> m_not_run_keys;
  /// Measured from the intended start, so that a stalled load generator does not hide latency (coordinated omission).
  LatencyHistogram m_latency;
  std::vector<TimelinePoint> m_timeline;
};

/// Length of a timeline interval.
inline constexpr std::chrono::milliseconds kTimelineInterval{250};

/// The timeline point for a time since the start of the run.
[[nodiscard]] TimelinePoint& TimelinePointAt(ServiceReport& report, std::chrono::nanoseconds since_start);

/// Formats the reports as a JSON document.
[[nodiscard]] std::string ToJson(const std::vector<const ServiceReport*>& reports, std::chrono::nanoseconds duration);

/// Draws an SVG plot of started, successful and failed work over time, one panel for each report.
[[nodiscard]] std::string ToSvg(const std::vector<const ServiceReport*>& reports);

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_REPORT_H_
