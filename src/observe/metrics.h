#ifndef FIGHATCH_OBSERVE_METRICS_H_
#define FIGHATCH_OBSERVE_METRICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fighatch::observe {

class LatencyHistogram;

/// Label names and values of a time series. Values must come from a small fixed set.
using Labels = std::map<std::string, std::string>;

/// Returns the current value of a time series. It is called from the thread that renders the metrics and must be safe
/// to call there.
using ValueReader = std::function<double()>;

/// A digest as the value of a gauge: its low 32 bits, which every reader of the text format keeps exactly.
[[nodiscard]] constexpr double DigestValue(std::uint64_t digest) noexcept {
  return static_cast<double>(static_cast<std::uint32_t>(digest));
}

/// The registry of a process's metrics, rendered in the Prometheus text format. Names follow the Prometheus
/// conventions: a `fighatch_` prefix, base units, `_total` for counters. Adding and rendering are safe from several
/// threads.
///
/// \code
/// Metrics metrics;
/// metrics.AddCounter("fighatch_packets_total", "Packets received.", {{"shard", "0"}}, [&] { return Load(count); });
/// std::string page = metrics.Render();
/// \endcode
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds a counter, a value that only rises. Series of the same name form one family, with the help text of the first.
  void AddCounter(const std::string& name, const std::string& help, const Labels& labels, ValueReader read);

  /// Adds a gauge, a value that may rise and fall.
  void AddGauge(const std::string& name, const std::string& help, const Labels& labels, ValueReader read);

  /// Adds a histogram of durations, rendered in seconds. `histogram` must outlive this object and be filled on the
  /// thread that renders.
  void AddHistogram(const std::string& name, const std::string& help, const Labels& labels,
                    const LatencyHistogram* histogram);

  /// Renders all metrics as the response body of `GET /metrics`.
  [[nodiscard]] std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch::observe

#endif  // FIGHATCH_OBSERVE_METRICS_H_
