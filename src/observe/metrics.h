#ifndef FIGHATCH_OBSERVE_METRICS_H_
#define FIGHATCH_OBSERVE_METRICS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fighatch::observe {

class LatencyHistogram;

/// Label names and values of a metric. Values must come from a small fixed set.
using Labels = std::map<std::string, std::string>;

/// Reads the present value of a metric; called while a page is rendered, so it must be safe from that thread.
using ValueReader = std::function<double()>;

/// The metrics of a process, rendered in the Prometheus text format. Names follow the Prometheus conventions: a
/// `fighatch_` prefix, base units, `_total` for counters.
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

  /// Adds a value that only rises. All metrics of one name share the help text of the first.
  void AddCounter(const std::string& name, const std::string& help, const Labels& labels, ValueReader read);

  /// Adds a value that may fall.
  void AddGauge(const std::string& name, const std::string& help, const Labels& labels, ValueReader read);

  /// Adds a histogram of durations in seconds; `histogram` must outlive this object and be filled by the thread that
  /// renders.
  void AddHistogram(const std::string& name, const std::string& help, const Labels& labels,
                    const LatencyHistogram* histogram);

  /// The page for `GET /metrics`.
  [[nodiscard]] std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch::observe

#endif  // FIGHATCH_OBSERVE_METRICS_H_
