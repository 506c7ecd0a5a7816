#ifndef FIGHATCH_BENCH_REQUEST_REPORT_H_
#define FIGHATCH_BENCH_REQUEST_REPORT_H_

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace fighatch::bench {

/// On which side of its bound a value passes.
enum class BoundKind : std::uint8_t { kAtMost = 0, kAtLeast = 1 };

/// Prints one result as a JSON object on a line; true if it passes.
inline bool PrintResult(const std::string& name, double value, const std::string& unit,
                        std::optional<double> bound = std::nullopt, std::optional<double> baseline = std::nullopt,
                        BoundKind kind = BoundKind::kAtMost) {
  const bool pass = !bound || (kind == BoundKind::kAtMost ? value <= *bound : value >= *bound);
  const auto number = [](const std::optional<double>& of) { return of ? nlohmann::json(*of) : nlohmann::json(); };
  const nlohmann::ordered_json line = {
      {"name", name}, {"value", value}, {"unit", unit}, {"bound", number(bound)}, {"baseline", number(baseline)},
      {"pass", pass}};
  std::cout << line.dump() << "\n";
  return pass;
}

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_REQUEST_REPORT_H_
