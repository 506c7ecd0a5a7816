#ifndef FIGHATCH_BENCH_REPORT_H_
#define FIGHATCH_BENCH_REPORT_H_

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

namespace fighatch::bench {

/// Prints one result as a JSON object on a line; false if the value exceeds its bound.
inline bool Report(const std::string& name, double value, const char* unit, std::optional<double> bound = std::nullopt,
                   std::optional<double> baseline = std::nullopt) {
  const auto number = [](std::optional<double> of) { return of ? std::to_string(*of) : std::string("null"); };
  const bool pass = !bound || value <= *bound;
  std::printf(R"({"name":"%s","value":%g,"unit":"%s","bound":%s,"baseline":%s,"pass":%s})"
              "\n",
              name.c_str(), value, unit, number(bound).c_str(), number(baseline).c_str(), pass ? "true" : "false");
  std::fflush(stdout);
  return pass;
}

/// The value below which the share lies; 0 for no values.
inline double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5);
  return values[std::min(index, values.size() - 1)];
}

/// Prints p50, p99 and max of the values; only the last one has a bound.
inline bool ReportQuantiles(const std::string& name, const std::vector<double>& values, const char* unit,
                            std::optional<double> bound) {
  Report(name + "_p50", Quantile(values, 0.5), unit);
  Report(name + "_p99", Quantile(values, 0.99), unit);
  return Report(name + "_max", Quantile(values, 1), unit, bound);
}

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_REPORT_H_
