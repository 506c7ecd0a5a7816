#ifndef FIGHATCH_BENCH_JSON_LINE_H_
#define FIGHATCH_BENCH_JSON_LINE_H_

#include <cstdio>
#include <string>

namespace fighatch::bench {

/// One measurement. A bound of 0 with `m_has_bound` means that the value must be 0.
struct Measurement {
  std::string m_name;
  double m_value = 0;
  std::string m_unit;
  bool m_has_bound = false;
  double m_bound = 0;
  bool m_has_baseline = false;
  double m_baseline = 0;
};

/// Prints the measurement as one JSON object; returns whether the value keeps to its bound.
inline bool Print(const Measurement& measurement) {
  const bool pass = !measurement.m_has_bound || measurement.m_value <= measurement.m_bound;
  const auto number = [](bool present, double value) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.6g", value);
    return present ? std::string(text) : std::string("null");
  };
  std::printf("{\"name\": \"%s\", \"value\": %s, \"unit\": \"%s\", \"bound\": %s, \"baseline\": %s, \"pass\": %s}\n",
              measurement.m_name.c_str(), number(true, measurement.m_value).c_str(), measurement.m_unit.c_str(),
              number(measurement.m_has_bound, measurement.m_bound).c_str(),
              number(measurement.m_has_baseline, measurement.m_baseline).c_str(), pass ? "true" : "false");
  return pass;
}

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_JSON_LINE_H_
