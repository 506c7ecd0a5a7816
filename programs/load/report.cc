#include "report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fighatch::load {
namespace {

constexpr int kPanelWidth = 900;
constexpr int kPanelHeight = 180;
constexpr int kMargin = 40;

struct CounterRow {
  const char* m_name;
  std::uint64_t ServiceReport::*m_value;
};

constexpr CounterRow kCounters[] = {
    {"started", &ServiceReport::m_started},
    {"established", &ServiceReport::m_established},
    {"completed", &ServiceReport::m_completed},
    {"broken", &ServiceReport::m_broken},
    {"failed_to_open", &ServiceReport::m_failed_to_open},
    {"not_run", &ServiceReport::m_not_run},
    {"unknown", &ServiceReport::m_unknown},
    {"no_answer", &ServiceReport::m_no_answer},
    {"resends", &ServiceReport::m_resends},
    {"wrong_answers", &ServiceReport::m_wrong_responses},
    {"truncated_answers", &ServiceReport::m_malformed_responses},
    {"entries_started", &ServiceReport::m_entries_started},
    {"entries_completed", &ServiceReport::m_entries_completed},
};

nlohmann::json ToJsonObject(const ServiceReport& report) {
  nlohmann::json object = {{"service", report.m_service}, {"kind", report.m_kind}};
  for (const CounterRow& row : kCounters) object[row.m_name] = report.*row.m_value;
  object["broken_by_target"] = report.m_broken_by_target;
  object["codes"] = report.m_error_codes;
  object["not_run_keys"] = report.m_not_run_keys;
  object["latency_us"] = {{"p50", report.m_latency.Quantile(0.5).count()},
                          {"p99", report.m_latency.Quantile(0.99).count()},
                          {"p999", report.m_latency.Quantile(0.999).count()},
                          {"max", report.m_latency.Quantile(1).count()}};
  nlohmann::json timeline = nlohmann::json::array();
  for (const TimelinePoint& point : report.m_timeline)
    timeline.push_back({point.m_started, point.m_succeeded, point.m_failed});
  object["timeline"] = std::move(timeline);
  return object;
}

void AppendCurve(const ServiceReport& report, std::uint64_t TimelinePoint::*value, std::uint64_t max_count,
                 const char* colour, int top, std::ostringstream* svg) {
  *svg << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.5\" points=\"";
  const std::size_t count = report.m_timeline.size();
  for (std::size_t index = 0; index < count; ++index) {
    const double x =
        kMargin + static_cast<double>(index) * kPanelWidth / static_cast<double>(std::max<std::size_t>(count - 1, 1));
    const double fraction = static_cast<double>(report.m_timeline[index].*value) / static_cast<double>(max_count);
    *svg << x << "," << top + kPanelHeight - fraction * kPanelHeight << " ";
  }
  *svg << "\"/>\n";
}

void AppendPanel(const ServiceReport& report, int top, std::ostringstream* svg) {
  std::uint64_t max_count = 1;
  for (const TimelinePoint& point : report.m_timeline)
    max_count = std::max({max_count, point.m_started, point.m_succeeded, point.m_failed});
  *svg << "<text x=\"" << kMargin << "\" y=\"" << top - 8 << "\">" << report.m_service << " (" << report.m_kind
       << "), per " << kTimelineInterval.count() << " ms, top " << max_count << "</text>\n";
  *svg << "<rect x=\"" << kMargin << "\" y=\"" << top << "\" width=\"" << kPanelWidth << "\" height=\"" << kPanelHeight
       << "\" fill=\"none\" stroke=\"#999\"/>\n";
  AppendCurve(report, &TimelinePoint::m_started, max_count, "#777", top, svg);
  AppendCurve(report, &TimelinePoint::m_succeeded, max_count, "#2a7", top, svg);
  AppendCurve(report, &TimelinePoint::m_failed, max_count, "#c33", top, svg);
}

}  // namespace

TimelinePoint& TimelinePointAt(ServiceReport& report, std::chrono::nanoseconds since_start) {
  const auto index = static_cast<std::size_t>(std::max<std::int64_t>(since_start / kTimelineInterval, 0));
  if (report.m_timeline.size() <= index) report.m_timeline.resize(index + 1);
  return report.m_timeline[index];
}

std::string ToJson(const std::vector<const ServiceReport*>& reports, std::chrono::nanoseconds duration) {
  nlohmann::json document;
  document["duration_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  document["timeline_interval_ms"] = kTimelineInterval.count();
  document["services"] = nlohmann::json::array();
  for (const ServiceReport* report : reports) document["services"].push_back(ToJsonObject(*report));
  return document.dump(1);
}

std::string ToSvg(const std::vector<const ServiceReport*>& reports) {
  const int panel_pitch = kPanelHeight + kMargin;
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPanelWidth + 2 * kMargin << "\" height=\""
      << static_cast<int>(reports.size()) * panel_pitch + kMargin
      << "\" font-family=\"sans-serif\" font-size=\"13\">\n";
  svg << "<text x=\"" << kMargin << "\" y=\"16\">grey: started, green: good, red: bad</text>\n";
  int top = kMargin + 10;
  for (const ServiceReport* report : reports) {
    AppendPanel(*report, top, &svg);
    top += panel_pitch;
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace fighatch::load
