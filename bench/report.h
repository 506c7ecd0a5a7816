#ifndef FIGHATCH_BENCH_REPORT_H_
#define FIGHATCH_BENCH_REPORT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace fighatch::bench {

/// Whether a result passes at or below its bound, or at or above it.
enum class BoundKind : std::uint8_t { kAtMost = 0, kAtLeast = 1 };

/// Prints one benchmark result to standard output as a JSON object on one line. Returns whether the value meets its
/// bound; a result without a bound passes.
inline bool Report(const std::string& name, double value, const std::string& unit,
                   std::optional<double> bound = std::nullopt, std::optional<double> baseline = std::nullopt,
                   BoundKind kind = BoundKind::kAtMost) {
  const bool pass = !bound || (kind == BoundKind::kAtMost ? value <= *bound : value >= *bound);
  const auto to_json = [](const std::optional<double>& number) {
    return number ? nlohmann::json(*number) : nlohmann::json();
  };
  const nlohmann::ordered_json line = {
      {"name", name}, {"value", value}, {"unit", unit}, {"bound", to_json(bound)}, {"baseline", to_json(baseline)},
      {"pass", pass}};
  std::cout << line.dump() << std::endl;
  return pass;
}

/// The quantile (0 to 1) of the values, rounded to the nearest of them without interpolation; 0 if there are none.
inline double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1) + 0.5);
  return values[std::min(index, values.size() - 1)];
}

/// Prints the p50, p99 and maximum of the values. The bound applies to the maximum only; returns whether it is met.
inline bool ReportQuantiles(const std::string& name, const std::vector<double>& values, const char* unit,
                            std::optional<double> bound) {
  Report(name + "_p50", Quantile(values, 0.5), unit);
  Report(name + "_p99", Quantile(values, 0.99), unit);
  return Report(name + "_max", Quantile(values, 1), unit, bound);
}

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_REPORT_H_
