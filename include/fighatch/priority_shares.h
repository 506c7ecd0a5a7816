#ifndef FIGHATCH_PRIORITY_SHARES_H_
#define FIGHATCH_PRIORITY_SHARES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fighatch/service_demand.h"
#include "fighatch/time.h"

namespace fighatch {

/// What the targets of one service can serve, as one balancer knows it.
struct ServiceRoom {
  /// Requests per second that all targets together can serve.
  double m_requests_per_second = 0;
  /// Time that one request takes at a target, without queueing.
  Duration m_request_time{0};
  /// Shortest latency objective of the service's routes; 0 if none has one.
  Duration m_objective{0};
  /// Priorities of the routes that lead to the service; 0 is the highest.
  std::set<std::uint32_t> m_priorities;
};

/// Flows of one service and priority since the start.
struct ShareCounters {
  std::uint64_t m_offered = 0;
  /// Flows that took a token, and flows that were refused; counted only while the service is short of room.
  std::uint64_t m_admitted = 0;
  std::uint64_t m_refused = 0;
  /// Tokens that higher priorities left unused and this one received.
  double m_lent = 0;
};

/// A service became short of room, or is no longer short of it.
struct ShortageChange {
  std::string m_service;
  bool m_is_short = false;
  /// Both in requests per second, over all balancers.
  double m_room = 0;
  double m_offered = 0;
};

/// Divides the room of each service among balancers and priorities while it is short: a service is short of room while
/// all balancers together are offered more than `kShortageFraction` of what its targets serve. This balancer's rate is
/// then the fraction of the room that corresponds to its part of the offered rate, and is divided into one token bucket
/// for each priority. The highest priority gets what the guaranteed floors of the others leave; tokens that do not fit
/// into its bucket go to the next priority at once.
///
/// Services whose flows carry several requests, and those with one priority only, are never short. It reads no clock:
/// each call gets the time.
class PriorityShares {
 public:
  static constexpr double kShortageFraction = 0.9;
  /// Demand of the other balancers expires this long after it was set.
  static constexpr Duration kDemandLifetime = std::chrono::milliseconds(600);
  /// Fraction of this balancer's rate that each lower priority is guaranteed, as long as it asks for it.
  static constexpr double kFloorFraction = 0.1;
  /// Further services and priorities are not tracked, and are never short.
  static constexpr std::size_t kMaxServices = 256;
  static constexpr std::size_t kMaxPrioritiesPerService = 8;

  /// Number of balancers known, this one included.
  void SetBalancers(std::size_t balancers) { m_balancers = balancers; }
  /// Replaces the room of a service, and determines whether it is short of room; call it every few tens of
  /// milliseconds.
  void SetRoom(TimePoint now, const std::string& service, const ServiceRoom& room);
  /// Forgets all other services.
  void Retain(const std::set<std::string>& services);
  /// Replaces the demand that the other balancers have reported; this balancer's own demand is not part of it.
  void SetDemand(TimePoint now, const std::string& service, const ServiceDemand& demand);

  /// Counts a new flow; call it for first transmissions of opening packets only.
  void RecordOffered(TimePoint now, const std::string& service, std::uint32_t priority);
  void RecordRefused(const std::string& service, std::uint32_t priority);
  /// Takes a token; false if there is none.
  [[nodiscard]] bool TakeToken(TimePoint now, const std::string& service, std::uint32_t priority);
  /// Expected time until a token for a packet with `ahead` packets of its priority before it.
  [[nodiscard]] Duration TimeUntilToken(TimePoint now, const std::string& service, std::uint32_t priority,
                                        std::size_t ahead);

  [[nodiscard]] bool IsShortOfRoom(const std::string& service) const;
  /// The rate that all balancers are offered as a fraction of the room; 0 if the room is not known.
  [[nodiscard]] double Utilisation(const std::string& service) const;
  /// The room that was set last; null if the service is not tracked.
  [[nodiscard]] const ServiceRoom* Room(const std::string& service) const;
  /// The rates of new flows that this balancer is offered, in flows per second by priority; empty if the service is not
  /// tracked.
  [[nodiscard]] std::map<std::uint32_t, double> OfferedRates(TimePoint now, const std::string& service) const;
  /// The part of the room in requests per second that this balancer may use; set while the service is short.
  [[nodiscard]] double ShareRate(const std::string& service) const;
  /// The counters by priority; empty if the service is not tracked.
  [[nodiscard]] std::map<std::uint32_t, ShareCounters> Counters(const std::string& service) const;
  [[nodiscard]] std::set<std::string> Services() const;
  /// Returns the changes since the last call, at most `kMaxServices`.
  [[nodiscard]] std::vector<ShortageChange> TakeChanges();

 private:
  // Rate of events in a window of which the past counts exponentially less.
  struct DecayedRate {
    double m_per_second = 0;
    TimePoint m_at;
    [[nodiscard]] double At(TimePoint now) const;
    void Add(TimePoint now);
  };

  // The flows and tokens of one priority.
  struct PriorityState {
    DecayedRate m_offered;
    double m_tokens = 0;
    // Guaranteed rate in tokens per second.
    double m_floor = 0;
    ShareCounters m_counters;
  };

  struct ServiceState {
    ServiceRoom m_room;
    ServiceDemand m_demand;
    TimePoint m_demand_at;
    bool m_has_demand = false;
    bool m_is_short = false;
    double m_utilisation = 0;
    // Tokens per second of this balancer, for all priorities.
    double m_rate = 0;
    TimePoint m_refilled;
    // By priority, the highest first.
    std::map<std::uint32_t, PriorityState> m_priorities;
  };

  [[nodiscard]] ServiceState* Find(const std::string& service);
  [[nodiscard]] const ServiceState* Find(const std::string& service) const;
  [[nodiscard]] double OwnRate(TimePoint now, const ServiceState& state) const;
  // The offered rate of all balancers; those that are missing in the demand count with the mean of the others.
  [[nodiscard]] double OfferedByAll(TimePoint now, const ServiceState& state) const;
  void UpdateShortage(TimePoint now, const std::string& service, ServiceState* state);
  void UpdateRates(TimePoint now, double offered_by_all, ServiceState* state);
  void Refill(TimePoint now, ServiceState* state);

  std::size_t m_balancers = 1;
  std::map<std::string, ServiceState> m_services;
  std::vector<ShortageChange> m_changes;
};

}  // namespace fighatch

#endif  // FIGHATCH_PRIORITY_SHARES_H_
