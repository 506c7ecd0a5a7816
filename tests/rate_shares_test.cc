// Replays of a shortage of room without a network. Callers retry at most twice after a reset or an answer 503.
#include <gtest/gtest.h>

#include <algorithm>

#include "steering_simulation.h"

namespace fighatch {
namespace {

using testing_support::LoadPattern;
using testing_support::LoadResult;
using testing_support::milliseconds;
using testing_support::PriorityLoad;
using testing_support::PriorityMode;
using testing_support::RequestOutcome;
using testing_support::SteeringSimulation;

// Load outside of the burst and in it, as a fraction of what the slots serve.
constexpr double kOrdinaryLoad = 0.42;
constexpr double kBurstLoad = 2;
constexpr double kSlotsPerTarget = 2;
constexpr std::uint32_t kHigh = 1;
constexpr std::uint32_t kLow = 2;

struct Size {
  std::uint32_t m_balancers = 0;
  std::uint32_t m_targets = 0;
  std::uint32_t m_data_centres = 0;
};

constexpr Size kSmall{8, 24, 3};
constexpr Size kMedium{65, 60, 3};
constexpr Size kLarge{195, 78, 9};

double RoomOf(const LoadPattern& pattern) {
  return pattern.m_targets * kSlotsPerTarget * 1000 / pattern.m_mean_processing_ms;
}

LoadPattern MakeShortage(const Size& size, PriorityMode mode) {
  LoadPattern pattern;
  pattern.m_mode = mode;
  pattern.m_balancers = size.m_balancers;
  pattern.m_targets = size.m_targets;
  pattern.m_data_centres = size.m_data_centres;
  pattern.m_mean_processing_ms = 60;
  pattern.m_flows_per_second = kOrdinaryLoad * RoomOf(pattern);
  pattern.m_burst = kBurstLoad / kOrdinaryLoad;
  pattern.m_burst_start = milliseconds(3500);
  pattern.m_burst_end = milliseconds(10500);
  pattern.m_length = milliseconds(12000);
  pattern.m_objective = milliseconds(600);
  pattern.m_report_interval = milliseconds(110);
  pattern.m_priorities = {{kHigh, 0.22, 2, 0.6}, {kLow, 0.78, 1, 0.3}};
  pattern.m_retries = 2;
  return pattern;
}

LoadResult RunPattern(const LoadPattern& pattern) {
  return SteeringSimulation(pattern,
                            [](std::uint32_t balancer) { return MakeSampledExpectedTimeChoice(Random(balancer), 5); })
      .Run();
}

// Sums over requests that were sent within a span.
struct Summary {
  std::uint32_t m_requests = 0;
  std::uint32_t m_answered = 0;
  std::uint32_t m_shed = 0;
  std::uint32_t m_tries = 0;
  double m_value = 0;
  double m_offered_value = 0;

  [[nodiscard]] double ValueShare() const { return m_value / m_offered_value; }
  [[nodiscard]] double TriesPerRequest() const { return static_cast<double>(m_tries) / m_requests; }
  [[nodiscard]] double ShedPerAnswer() const { return static_cast<double>(m_shed) / m_answered; }
};

template <typename Filter>
Summary Summarise(const LoadPattern& pattern, const LoadResult& result, const Filter& filter) {
  Summary sum;
  for (const RequestOutcome& request : result.m_outcomes) {
    if (!filter(request)) continue;
    const auto load = std::find_if(pattern.m_priorities.begin(), pattern.m_priorities.end(),
                                   [&](const PriorityLoad& each) { return each.m_priority == request.m_priority; });
    ++sum.m_requests;
    sum.m_tries += request.m_tries;
    sum.m_shed += request.m_shed;
    sum.m_offered_value += load->m_value;
    if (!request.m_took) continue;
    ++sum.m_answered;
    sum.m_value += *request.m_took <= pattern.m_objective ? load->m_value : load->m_late_value;
  }
  return sum;
}

Summary InBurst(const LoadPattern& pattern, const LoadResult& result, std::uint32_t priority) {
  return Summarise(pattern, result, [&](const RequestOutcome& request) {
    return request.m_priority == priority && request.m_sent >= pattern.m_burst_start &&
           request.m_sent < pattern.m_burst_end;
  });
}

// The value of the requests in the burst if the slots served the most valuable of them, without a gap.
double BestValue(const LoadPattern& pattern, const Summary& high, const Summary& low) {
  const std::chrono::duration<double> span = pattern.m_burst_end - pattern.m_burst_start + pattern.m_objective;
  return high.m_offered_value + std::min<double>(low.m_requests, RoomOf(pattern) * span.count() - high.m_requests);
}

// Highest number of placed flows within half a second, as a fraction of what the slots serve.
double PeakPlacementRatio(const LoadPattern& pattern, const LoadResult& result, Duration from, Duration until) {
  constexpr milliseconds kWindow{500};
  std::size_t peak = 0;
  auto first = std::lower_bound(result.m_placements.begin(), result.m_placements.end(), from);
  for (auto last = first; last != result.m_placements.end() && *last < until; ++last) {
    while (*last - *first >= kWindow) ++first;
    peak = std::max(peak, static_cast<std::size_t>(last - first) + 1);
  }
  return static_cast<double>(peak) / (RoomOf(pattern) * std::chrono::duration<double>(kWindow).count());
}

double TotalValue(const LoadPattern& pattern, const LoadResult& result) {
  return InBurst(pattern, result, kHigh).m_value + InBurst(pattern, result, kLow).m_value;
}

// What holds in each shortage, whatever else fails.
void ExpectHighPriorityAndFloor(const LoadPattern& pattern, const LoadResult& result) {
  const std::chrono::duration<double> span = pattern.m_burst_end - pattern.m_burst_start;
  const double floor = PriorityShares::kFloorFraction * RoomOf(pattern) * span.count();
  EXPECT_GE(InBurst(pattern, result, kHigh).ValueShare(), 0.95);
  EXPECT_GE(InBurst(pattern, result, kLow).m_answered, floor);
}

void Record(const LoadPattern& pattern, const LoadResult& result) {
  const Summary high = InBurst(pattern, result, kHigh);
  const Summary low = InBurst(pattern, result, kLow);
  const Summary all = Summarise(pattern, result, [](const RequestOutcome&) { return true; });
  std::printf("balancers=%u mode=%d high=%.3f low=%.3f total=%.3f shed_per_answer=%.3f tries=%.2f\n",
              pattern.m_balancers, static_cast<int>(pattern.m_mode), high.ValueShare(), low.ValueShare(),
              TotalValue(pattern, result) / BestValue(pattern, high, low), all.ShedPerAnswer(), all.TriesPerRequest());
}

class RateSharesTest : public testing::TestWithParam<Size> {
 protected:
  [[nodiscard]] static LoadPattern Shortage(PriorityMode mode = PriorityMode::kRateShares) {
    return MakeShortage(GetParam(), mode);
  }
};

class RateSharesFaultTest : public RateSharesTest {};

std::string SizeName(const testing::TestParamInfo<Size>& size) { return std::to_string(size.param.m_balancers); }

INSTANTIATE_TEST_SUITE_P(Sizes, RateSharesTest, testing::Values(kSmall, kMedium, kLarge), SizeName);
INSTANTIATE_TEST_SUITE_P(Sizes, RateSharesFaultTest, testing::Values(kSmall, kMedium), SizeName);

// Guards against a shortage in which the more valuable requests are lost like the others, and in which slots are used
// for answers that are late or are left empty. The baselines are the rules without shares, with priorities in the local
// queue only and without priorities.
TEST_P(RateSharesTest, HighPriorityKeepsItsValueInAShortage) {
  const LoadPattern pattern = Shortage();
  const LoadResult shares = RunPattern(pattern);
  Record(pattern, shares);
  ExpectHighPriorityAndFloor(pattern, shares);
  const Summary high = InBurst(pattern, shares, kHigh);
  EXPECT_GE(TotalValue(pattern, shares), 0.838 * BestValue(pattern, high, InBurst(pattern, shares, kLow)));
  EXPECT_LE(Summarise(pattern, shares, [](const RequestOutcome&) { return true; }).ShedPerAnswer(), 0.05);
  for (const PriorityMode mode : {PriorityMode::kIgnored, PriorityMode::kLocalQueue}) {
    const LoadPattern other = Shortage(mode);
    const LoadResult baseline = RunPattern(other);
    Record(other, baseline);
    EXPECT_LT(InBurst(pattern, baseline, kHigh).ValueShare(), high.ValueShare());
    EXPECT_LT(TotalValue(pattern, baseline), TotalValue(pattern, shares));
  }
}

// Guards against callers that must try again and again.
TEST_P(RateSharesTest, TriesPerRequestStayFew) {
  const LoadPattern pattern = Shortage();
  const LoadResult result = RunPattern(pattern);
  EXPECT_LE(Summarise(pattern, result, [](const RequestOutcome&) { return true; }).TriesPerRequest(), 1.3);
}

// Guards against decisions that change although there is enough room.
TEST_P(RateSharesTest, NothingChangesWithoutAShortage) {
  for (const double load : {kOrdinaryLoad, 0.6}) {
    LoadPattern pattern = Shortage();
    LoadPattern baseline = Shortage(PriorityMode::kLocalQueue);
    pattern.m_burst = baseline.m_burst = load / kOrdinaryLoad;
    pattern.m_burst_end = baseline.m_burst_end = pattern.m_length;
    EXPECT_EQ(RunPattern(pattern).m_decisions, RunPattern(baseline).m_decisions) << load;
  }
}

// Guards against decisions that change for a service whose requests all have the same priority.
TEST_P(RateSharesFaultTest, NothingChangesWithOnePriority) {
  LoadPattern pattern = Shortage();
  LoadPattern baseline = Shortage(PriorityMode::kLocalQueue);
  pattern.m_priorities = baseline.m_priorities = {{kLow, 1, 1, 0.3}};
  EXPECT_EQ(RunPattern(pattern).m_decisions, RunPattern(baseline).m_decisions);
}

// Guards against targets that are flooded when a burst ends: the ratio is that of offered flows to what slots serve.
TEST_P(RateSharesFaultTest, EndOfTheBurstOverloadsNothing) {
  const LoadPattern pattern = Shortage();
  EXPECT_LE(PeakPlacementRatio(pattern, RunPattern(pattern), pattern.m_burst_end, pattern.m_length), 1);
}

// Guards against targets that are flooded when a data centre comes back, and against shares that count its room or its
// balancers too early or too late.
TEST_P(RateSharesFaultTest, ReturningDataCentreOverloadsNothing) {
  LoadPattern pattern = Shortage();
  pattern.m_data_centre_out = true;
  pattern.m_cold_flows_per_second = 8;
  // Twice what the remaining two thirds of the targets serve.
  pattern.m_burst *= 2.0 / 3;
  const LoadResult result = RunPattern(pattern);
  std::printf("balancers=%u peak=%.3f\n", pattern.m_balancers,
              PeakPlacementRatio(pattern, result, pattern.m_burst_end, pattern.m_length));
  EXPECT_LE(PeakPlacementRatio(pattern, result, pattern.m_burst_end, pattern.m_length), 1);
  ExpectHighPriorityAndFloor(pattern, result);
}

// Guards against balancers that use all of the room, or none, when they hear nothing of the others.
TEST_P(RateSharesFaultTest, HighPriorityKeepsItsValueWithoutReports) {
  LoadPattern pattern = Shortage();
  pattern.m_reports_stop = true;
  const LoadResult result = RunPattern(pattern);
  Record(pattern, result);
  ExpectHighPriorityAndFloor(pattern, result);
}

// Guards against a restarted balancer that takes more than its share, or nothing, before it has heard of the others.
TEST_P(RateSharesFaultTest, HighPriorityKeepsItsValueWhenABalancerRestarts) {
  LoadPattern pattern = Shortage();
  pattern.m_restart = true;
  const LoadResult result = RunPattern(pattern);
  Record(pattern, result);
  ExpectHighPriorityAndFloor(pattern, result);
}

// Guards against one client address that takes the turns of others.
TEST_P(RateSharesFaultTest, GreedyClientGetsNoMoreThanOthers) {
  LoadPattern pattern = Shortage();
  pattern.m_greedy_factor = 100;
  const LoadResult result = RunPattern(pattern);
  const auto answered_share = [&](bool is_greedy) {
    const Summary sum = Summarise(pattern, result, [&](const RequestOutcome& request) {
      return request.m_is_greedy == is_greedy && request.m_priority == kLow &&
             request.m_sent >= pattern.m_burst_start && request.m_sent < pattern.m_burst_end;
    });
    return static_cast<double>(sum.m_answered) / sum.m_requests;
  };
  std::printf("greedy=%.3f others=%.3f\n", answered_share(true), answered_share(false));
  EXPECT_GT(answered_share(false), answered_share(true));
}

}  // namespace
}  // namespace fighatch
