#include "observe/metrics.h"

#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <limits>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

#include "observe/latency_histogram.h"

namespace fighatch::observe {
namespace {

// One time series of a family: a set of labels and the source of its value.
struct Series {
  Labels m_labels;
  ValueReader m_read;
  // Set instead of `m_read` for histograms.
  const LatencyHistogram* m_histogram = nullptr;
};

// All time series of one metric name.
struct Family {
  std::string m_name;
  std::string m_help;
  prometheus::MetricType m_type = prometheus::MetricType::Untyped;
  std::vector<Series> m_series;
};

prometheus::ClientMetric::Histogram ToHistogram(const LatencyHistogram& histogram) {
  prometheus::ClientMetric::Histogram result;
  result.sample_count = histogram.Count();
  result.sample_sum = histogram.SumSeconds();
  std::uint64_t cumulative = 0;
  for (std::size_t bucket = 0; bucket < LatencyHistogram::kUpperBounds.size(); ++bucket) {
    cumulative += histogram.CountInBucket(bucket);
    const double bound = std::chrono::duration<double>(LatencyHistogram::kUpperBounds[bucket]).count();
    result.bucket.push_back({cumulative, bound});
  }
  result.bucket.push_back({histogram.Count(), std::numeric_limits<double>::infinity()});
  return result;
}

prometheus::ClientMetric ToClientMetric(const Series& series, prometheus::MetricType type) {
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : series.m_labels) metric.label.push_back({name, value});
  if (series.m_histogram != nullptr) {
    metric.histogram = ToHistogram(*series.m_histogram);
  } else if (type == prometheus::MetricType::Counter) {
    metric.counter.value = series.m_read();
  } else {
    metric.gauge.value = series.m_read();
  }
  return metric;
}

prometheus::MetricFamily ToMetricFamily(const Family& family) {
  prometheus::MetricFamily result;
  result.name = family.m_name;
  result.help = family.m_help;
  result.type = family.m_type;
  for (const Series& series : family.m_series) result.metric.push_back(ToClientMetric(series, family.m_type));
  return result;
}

}  // namespace

class Metrics::Impl {
 public:
  void Add(const std::string& name, const std::string& help, prometheus::MetricType type, Series series) {
    const std::lock_guard lock(m_mutex);
    auto found = std::find_if(m_families.begin(), m_families.end(),
                              [&name](const Family& family) { return family.m_name == name; });
    if (found == m_families.end()) found = m_families.insert(m_families.end(), Family{name, help, type, {}});
    found->m_series.push_back(std::move(series));
  }

  [[nodiscard]] std::string Render() const {
    const std::lock_guard lock(m_mutex);
    std::vector<prometheus::MetricFamily> families;
    std::transform(m_families.begin(), m_families.end(), std::back_inserter(families), ToMetricFamily);
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, families);
    return text.str();
  }

 private:
  mutable std::mutex m_mutex;
  std::vector<Family> m_families;
};

Metrics::Metrics() : m_impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::AddCounter(const std::string& name, const std::string& help, const Labels& labels, ValueReader read) {
  m_impl->Add(name, help, prometheus::MetricType::Counter, {labels, std::move(read)});
}

void Metrics::AddGauge(const std::string& name, const std::string& help, const Labels& labels, ValueReader read) {
  m_impl->Add(name, help, prometheus::MetricType::Gauge, {labels, std::move(read)});
}

void Metrics::AddHistogram(const std::string& name, const std::string& help, const Labels& labels,
                           const LatencyHistogram* histogram) {
  m_impl->Add(name, help, prometheus::MetricType::Histogram, {labels, nullptr, histogram});
}

std::string Metrics::Render() const { return m_impl->Render(); }

}  // namespace fighatch::observe
