#ifndef FIGHATCH_LOAD_VIEW_H_
#define FIGHATCH_LOAD_VIEW_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/load_summary.h"
#include "fighatch/offered_load.h"
#include "fighatch/service_demand.h"
#include "fighatch/sync_message.h"
#include "fighatch/time.h"

namespace fighatch {

/// Settings of a `LoadView`.
struct LoadViewOptions {
  HostId m_self;
  std::string m_data_centre;
  /// A message expires this long after it was received.
  Duration m_lifetime = std::chrono::milliseconds(600);
};

/// What a balancer knows of the load that the other balancers put on targets, and with whom it exchanges load. With few
/// balancers each reports to all. With more, each reports to those of its data centre, and summaries carry the load of
/// one data centre to the others. A summary holds only what balancers of its own data centre reported, so that no load
/// is counted twice. While there are flows of a data centre from a summary, single reports from there are not counted,
/// and likewise for rates. It reads no clock: each call gets the time, and queries answer as of the last call with a
/// time.
class LoadView {
 public:
  /// With more balancers than this, each reports within its data centre only.
  static constexpr std::size_t kMaxBalancersForDirectReports = 16;
  /// Interval between messages of one kind for each recipient, so that a host's message rate does not grow with the
  /// deployment.
  static constexpr Duration kReportIntervalPerRecipient = std::chrono::milliseconds(5);
  static constexpr Duration kMinReportInterval = std::chrono::milliseconds(20);
  /// A summary is sent at least this long before the previous one of its data centre expires.
  static constexpr Duration kSummaryMargin = std::chrono::milliseconds(100);
  /// Without shortage of room, offered rates and summaries are sent in one of so many intervals.
  static constexpr std::uint64_t kIntervalsPerExchange = 10;
  /// For this long after a shortage of room has ended, offered rates and summaries are still sent in each interval.
  static constexpr Duration kShortagePeriod = std::chrono::seconds(2);
  /// Limits on what is held; messages of further senders or data centres are ignored until others have expired.
  static constexpr std::size_t kMaxSenders = 1024;
  static constexpr std::size_t kMaxDataCentres = 64;

  /// An interval between messages: its number, and the time until its end.
  struct Interval {
    std::uint64_t m_number = 0;
    Duration m_left{};
  };

  explicit LoadView(LoadViewOptions options) : m_options(std::move(options)) {}

  /// All balancers, this one included. The time of the first list that is not empty counts as that of the start.
  void SetBalancers(TimePoint now, const std::vector<BalancerPeer>& balancers);

  /// Each takes a message; while the sender's last message has not expired, only a newer one is taken. Returns true if
  /// it was taken.
  bool Receive(TimePoint now, const LoadReport& report);
  bool Receive(TimePoint now, const OfferedLoad& load);
  /// A summary of a data centre other than the one known for its sender is refused. One without flows replaces only
  /// rates. Rates of fewer than half as many balancers do not replace those that are held.
  bool Receive(TimePoint now, const LoadSummary& summary);

  /// Removes summaries and rates that have expired; true if the flows of other balancers have changed. Call it every
  /// few tens of milliseconds.
  bool RemoveExpiredSummariesAndRates(TimePoint now);
  /// Removes all that has expired, load reports included; true if the flows of other balancers have changed.
  bool RemoveExpired(TimePoint now);

  /// Flows that other balancers have at each target, by cookie.
  [[nodiscard]] std::unordered_map<std::uint32_t, std::uint32_t> RemoteFlows() const;

  /// Demand of the other balancers for a service. The time grows with the number of balancers: call it once an
  /// interval rather than for each packet.
  [[nodiscard]] ServiceDemand DemandOf(const std::string& service) const;

  /// The summary of this balancer's data centre, given this balancer's own flows and offered rates. Flows are left out
  /// unless a service was recently short of room: most requests end before the next summary without shortage arrives.
  [[nodiscard]] LoadSummary MakeSummary(TimePoint now, const std::vector<CookieLoad>& own_loads,
                                        const std::vector<OfferedRate>& own_rates);

  /// The balancers that get this one's load reports and offered rates, and the interval between these messages.
  [[nodiscard]] std::vector<HostId> ReportRecipients() const;
  [[nodiscard]] Duration ReportInterval() const;

  /// The balancers that get the summary which this one makes for an interval; empty while each balancer reports to all.
  /// All balancers of a data centre must number the intervals alike: then each balancer of another data centre gets one
  /// summary for each interval, from another sender than in the interval before if there are several.
  [[nodiscard]] std::vector<HostId> SummaryRecipients(std::uint64_t interval) const;
  /// The interval between summaries, which is the same for all balancers of a data centre. It ends `kSummaryMargin`
  /// before summaries expire, even if a data centre of few balancers then sends more often than
  /// `kReportIntervalPerRecipient`.
  [[nodiscard]] Duration SummaryInterval() const;

  /// States whether any service is short of room.
  void SetShortOfRoom(TimePoint now, bool is_short);
  /// True if a service is short of room or was within `kShortagePeriod`.
  [[nodiscard]] bool WasRecentlyShort(TimePoint now) const;

  /// True if offered rates and summaries are sent for the interval.
  [[nodiscard]] static constexpr bool IsExchangeDue(std::uint64_t interval, bool was_recently_short) noexcept {
    return was_recently_short || interval % kIntervalsPerExchange == 0;
  }

  /// True if the summary of an interval is sent at its end: as `IsExchangeDue`, but not before a report interval has
  /// passed since the start, within which the other balancers of the data centre report.
  [[nodiscard]] bool IsSummaryDue(TimePoint now, std::uint64_t interval) const;

  /// The interval that a time of day lies in. All balancers of a data centre must number intervals alike, so the number
  /// is derived from the time of day.
  [[nodiscard]] static constexpr Interval IntervalAt(Duration time_of_day, Duration interval) noexcept {
    return {static_cast<std::uint64_t>(time_of_day / interval), interval - time_of_day % interval};
  }

 private:
  template <typename Message>
  struct Received {
    TimePoint m_received;
    Message m_message;
  };
  template <typename Message>
  using BySender = std::map<HostId, Received<Message>>;
  template <typename Content>
  using ByDataCentre = std::map<std::string, Received<Content>>;
  // Rates of a summary, and the number of balancers whose rates they are.
  struct SummedRates {
    std::uint32_t m_balancers = 0;
    std::vector<OfferedRate> m_rates;
  };
  // When the last summary of a sender arrived, and its sequence.
  struct LastSummary {
    TimePoint m_received;
    std::uint64_t m_sequence = 0;
  };

  template <typename Message>
  bool Take(TimePoint now, const Message& message, BySender<Message>* known);
  // True if a message with the sequence `next` does not replace the one of the same sender with `last`.
  [[nodiscard]] bool IsLate(TimePoint now, TimePoint received, std::uint64_t last, std::uint64_t next) const {
    return next <= last && now - received < m_options.m_lifetime;
  }
  [[nodiscard]] bool IsExpired(TimePoint now, TimePoint received) const {
    return now - received > m_options.m_lifetime;
  }
  // The data centre of a balancer; null if it is unknown.
  [[nodiscard]] const std::string* DataCentreOf(HostId host) const;
  // True if the balancer is known to be in this one's data centre.
  [[nodiscard]] bool IsLocal(HostId host) const;
  // True unless summaries cover what the balancer reports.
  template <typename Content>
  [[nodiscard]] bool CountsDirectly(HostId host, const ByDataCentre<Content>& summed) const;
  [[nodiscard]] const std::vector<HostId>& LocalBalancers() const;

  LoadViewOptions m_options;
  std::map<HostId, std::string> m_data_centre_of;
  std::optional<TimePoint> m_started;
  // Balancers by data centre, in ascending order.
  std::map<std::string, std::vector<HostId>> m_members;
  BySender<LoadReport> m_reports;
  BySender<OfferedLoad> m_offered;
  // Flows and rates of each other data centre, which may come from different summaries.
  ByDataCentre<std::vector<CookieLoad>> m_summed_flows;
  ByDataCentre<SummedRates> m_summed_rates;
  std::map<HostId, LastSummary> m_summary_marks;
  std::uint64_t m_sequence = 0;
  bool m_is_short = false;
  std::optional<TimePoint> m_short_until;
};

}  // namespace fighatch

#endif  // FIGHATCH_LOAD_VIEW_H_
