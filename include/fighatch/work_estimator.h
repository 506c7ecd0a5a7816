#ifndef FIGHATCH_WORK_ESTIMATOR_H_
#define FIGHATCH_WORK_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/target_speed.h"
#include "fighatch/time.h"
#include "fighatch/work_histogram.h"

namespace fighatch {

/// A request that has ended, as a sample of work.
struct WorkSample {
  std::uint32_t m_route = 0;
  /// Time at the target in milliseconds, without the network. The request must not have queued there.
  double m_time_ms = 0;
  /// Time in milliseconds for which the request counted as load.
  double m_load_time_ms = 0;
};

/// Learns how much work requests of each route cost and how fast each target is. Work is measured in milliseconds at a
/// target of average speed.
class WorkEstimator {
 public:
  /// Routes beyond this number share one distribution.
  static constexpr std::size_t kMaxRoutes = 1024;
  /// A route with fewer samples has no estimate.
  static constexpr std::uint64_t kMinRouteSamples = 20;
  /// Half-life of the samples of a target's speed.
  static constexpr Duration kSpeedHalfLife = std::chrono::seconds(20);
  /// The mean over a target's samples reaches back over about this many.
  static constexpr double kMaxSpeedSamples = 12;

  /// The index of the route with this public endpoint, which is added if it is new.
  [[nodiscard]] std::uint32_t RouteIndex(const Endpoint& route);

  /// Learns from a request that has ended at the target whose speed is given.
  void AddSample(TimePoint now, const WorkSample& sample, TargetSpeed* speed);

  /// Records whether the end of a request was seen when it happened, rather than inferred from the next request.
  void RecordEnd(std::uint32_t route, bool seen);

  /// Brings the distributions up to date; call it every few hundred milliseconds, like `UpdateSpeeds`.
  void Refresh();

  /// Sets the speeds of the targets of one service. How far a target's mean counts follows from the number of its
  /// samples and from how much the targets differ beyond chance, so that equal targets get equal speeds.
  void UpdateSpeeds(TimePoint now, const std::vector<TargetSpeed*>& speeds) const;

  [[nodiscard]] bool HasEstimate(std::uint32_t route) const {
    return m_routes[route].m_work.Samples() >= kMinRouteSamples;
  }
  /// Mean work of a new request in milliseconds.
  [[nodiscard]] double MeanWorkMs(std::uint32_t route) const { return m_routes[route].m_work.MeanMs(); }
  /// Mean remaining work in milliseconds of a running request whose age is not known.
  [[nodiscard]] double RemainingWorkAtUnknownAgeMs(std::uint32_t route) const {
    return m_routes[route].m_work.MeanRemainingAtUnknownAgeMs();
  }
  /// Mean remaining work in milliseconds of a request that has had `done_ms` of work and whose end was not seen.
  [[nodiscard]] double RemainingWorkMs(std::uint32_t route, double done_ms) const;
  /// Mean time in milliseconds for which a request counts as load.
  [[nodiscard]] double LoadTimeMs(std::uint32_t route) const { return m_routes[route].m_load_time_ms; }

 private:
  struct RouteWork {
    WorkHistogram m_work;
    // Moving average of the logarithm of the time at the target, over all targets.
    double m_mean_log = 0;
    double m_load_time_ms = 0;
    // Share of the requests whose end is only inferred later.
    double m_unseen_ends = 0;
    bool m_has_new_samples = false;
  };

  static constexpr double kInitialLogVariance = 0.25;

  std::map<Endpoint, std::uint32_t> m_indexes;
  std::vector<RouteWork> m_routes;
  // Variance of the logarithm of the times at one target.
  double m_log_variance = kInitialLogVariance;
};

}  // namespace fighatch

#endif  // FIGHATCH_WORK_ESTIMATOR_H_
