#ifndef FIGHATCH_TESTS_ALLOWANCE_MODEL_H_
#define FIGHATCH_TESTS_ALLOWANCE_MODEL_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "fighatch/allowance_grantor.h"
#include "fighatch/allowance_holder.h"
#include "fighatch/random.h"

namespace fighatch {

inline constexpr Duration kModelStep = std::chrono::milliseconds(20);

/// Simulates hosts of one data centre under virtual time, each of which leases tokens from the coordinator that its own
/// view of the members elects. Each host's clock has its own speed; messages can be lost, duplicated and delayed; links
/// can be cut one way.
class AllowanceModel {
 public:
  struct Target {
    TargetInfo m_info;
    std::uint32_t m_allowance = 0;
    /// When the allowance last decreased; tokens granted before may be in use for a while.
    Duration m_decreased_at = -std::chrono::hours(1);
  };
  struct Host {
    HostId m_id;
    /// Ticks of this host's clock for 100 ticks of real time: 100 to 110.
    std::int64_t m_speed = 100;
    std::uint64_t m_incarnation = 1;
    bool m_alive = true;
    std::unique_ptr<AllowanceHolder> m_holder;
    std::unique_ptr<AllowanceGrantor> m_grantor;
    std::uint32_t m_waiting = 0;
    /// Ends of requests in progress, in real time, by target.
    std::multimap<Duration, TargetId> m_in_progress;
    /// When each other host was last heard, in real time.
    std::map<HostId, Duration> m_heard;
  };

  AllowanceModel(std::uint32_t hosts, std::vector<std::uint32_t> slots, std::uint64_t seed) : m_random(seed) {
    for (std::uint32_t index = 0; index < slots.size(); ++index) {
      Target& target = m_targets.emplace_back();
      target.m_info.m_id = {1000 + index};
      target.m_info.m_service = {1};
      target.m_info.m_incarnation = {1};
      target.m_info.m_slots = slots[index];
      target.m_allowance = slots[index];
    }
    for (std::uint32_t id = 1; id <= hosts; ++id) {
      Host& host = m_hosts[HostId{id}];
      host.m_id = {id};
      host.m_speed = 100 + static_cast<std::int64_t>(m_random.Below(11));
      Start(&host);
    }
  }

  void Run(Duration span) {
    for (const Duration end = m_now + span; m_now < end; m_now += kModelStep) Step();
  }

  void Kill(HostId id) {
    Host& host = m_hosts[id];
    host.m_alive = false;
    host.m_in_progress.clear();
    host.m_grantor.reset();
  }

  void Restart(HostId id) {
    Host& host = m_hosts[id];
    Kill(id);
    ++host.m_incarnation;
    Start(&host);
  }

  /// Cuts the links from each host of the first set to each of the second.
  void Cut(const std::set<HostId>& from, const std::set<HostId>& to) {
    for (const HostId sender : from)
      for (const HostId receiver : to) m_cut.insert({sender, receiver});
  }
  void Heal() { m_cut.clear(); }

  void SetAllowance(std::size_t index, std::uint32_t allowance) {
    if (allowance < m_targets[index].m_allowance) m_targets[index].m_decreased_at = m_now;
    m_targets[index].m_allowance = allowance;
  }

  [[nodiscard]] std::uint32_t InProgress(TargetId target) const {
    std::uint32_t sum = 0;
    for (const auto& [id, host] : m_hosts) {
      sum += static_cast<std::uint32_t>(std::count_if(host.m_in_progress.begin(), host.m_in_progress.end(),
                                                      [target](const auto& item) { return item.second == target; }));
    }
    return sum;
  }

  /// The checked invariant: the largest excess so far of requests in progress over a target's allowance, which must
  /// stay 0. After an allowance decreased, the target's slots are the bound until leases and requests from before have
  /// ended.
  std::uint32_t m_worst_excess = 0;
  std::uint64_t m_started = 0;
  std::uint64_t m_messages = 0;
  std::uint64_t m_loss_percent = 0;
  std::uint64_t m_duplicate_percent = 0;
  Duration m_longest_delay = std::chrono::milliseconds(20);
  Duration m_longest_request = std::chrono::milliseconds(400);
  std::map<HostId, Host> m_hosts;
  std::vector<Target> m_targets;
  Duration m_now = std::chrono::seconds(1000);

 private:
  struct Message {
    HostId m_from;
    HostId m_to;
    std::variant<LeaseRequest, LeaseGrant> m_content;
  };

  [[nodiscard]] TimePoint ClockOf(const Host& host) const {
    return TimePoint(m_now * host.m_speed / 100 + std::chrono::hours(host.m_id.m_value));
  }

  void Start(Host* host) {
    host->m_alive = true;
    host->m_holder = std::make_unique<AllowanceHolder>(host->m_id, Incarnation{host->m_incarnation});
    for (auto& [id, other] : m_hosts) host->m_heard[id] = m_now;
  }

  [[nodiscard]] std::vector<LeaseMember> Members() const {
    std::vector<LeaseMember> members;
    for (const auto& [id, host] : m_hosts) members.push_back({id});
    return members;
  }

  void Step() {
    Deliver();
    for (auto& [id, host] : m_hosts) {
      if (host.m_alive) StepHost(&host);
    }
    Check();
  }

  void StepHost(Host* host) {
    const TimePoint clock = ClockOf(*host);
    UpdateView(host, clock);
    while (!host->m_in_progress.empty() && host->m_in_progress.begin()->first <= m_now) {
      host->m_holder->Return(host->m_in_progress.begin()->second, clock);
      host->m_in_progress.erase(host->m_in_progress.begin());
    }
    if (host->m_grantor) {
      for (const Target& target : m_targets) host->m_grantor->SetAllowance(target.m_info, target.m_allowance);
    }
    Dispatch(host, clock);
    host->m_holder->ReportDemand(ServiceId{1}, host->m_waiting, clock);
    if (const auto request = host->m_holder->Poll(clock)) Send(host->m_id, request->m_grantor, *request);
  }

  /// Simulates the member list: a host from which nothing arrived for 2 s counts as dead.
  void UpdateView(Host* host, TimePoint clock) {
    HostId lowest = host->m_id;
    std::vector<HostId> missing;
    for (auto& [id, other] : m_hosts) {
      if (id == host->m_id) continue;
      if (other.m_alive && !m_cut.contains({id, host->m_id})) host->m_heard[id] = m_now;
      if (m_now - host->m_heard[id] >= std::chrono::seconds(2)) {
        missing.push_back(id);
      } else {
        lowest = std::min(lowest, id);
      }
    }
    host->m_holder->SetMembers(7, missing);
    host->m_holder->Follow(lowest, clock);
    if (lowest != host->m_id) {
      host->m_grantor.reset();
    } else if (!host->m_grantor) {
      host->m_grantor = std::make_unique<AllowanceGrantor>(host->m_id, ++m_last_epoch, Members(), 7, m_random(), clock);
    } else {
      host->m_grantor->SetMembers(Members(), 7, clock);
    }
  }

  void Dispatch(Host* host, TimePoint clock) {
    for (std::size_t tries = 0; tries < m_targets.size() && host->m_waiting > 0; ++tries) {
      const TargetId target = m_targets[m_random.Below(m_targets.size())].m_info.m_id;
      if (!host->m_holder->Take(target, clock)) continue;
      const auto steps = m_random.Below(static_cast<std::uint64_t>(m_longest_request / kModelStep)) + 1;
      host->m_in_progress.emplace(m_now + static_cast<std::int64_t>(steps) * kModelStep, target);
      --host->m_waiting;
      ++m_started;
    }
  }

  template <typename Content>
  void Send(HostId from, HostId to, const Content& content) {
    ++m_messages;
    if (m_cut.contains({from, to})) return;
    const int copies = m_random.Below(100) < m_duplicate_percent ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (from != to && m_random.Below(100) < m_loss_percent) continue;
      const auto delay = m_random.Below(static_cast<std::uint64_t>(m_longest_delay / kModelStep) + 1);
      m_queue.emplace(m_now + static_cast<std::int64_t>(delay) * kModelStep, Message{from, to, content});
    }
  }

  void Deliver() {
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
      const Message message = m_queue.begin()->second;
      m_queue.erase(m_queue.begin());
      Host& host = m_hosts[message.m_to];
      if (!host.m_alive) continue;
      const TimePoint clock = ClockOf(host);
      if (const auto* grant = std::get_if<LeaseGrant>(&message.m_content)) {
        host.m_holder->OnGrant(*grant, clock);
      } else if (host.m_grantor) {
        const auto answer = host.m_grantor->OnRequest(std::get<LeaseRequest>(message.m_content), clock);
        if (answer) Send(host.m_id, message.m_from, *answer);
      }
    }
  }

  void Check() {
    for (const Target& target : m_targets) {
      const Duration grace = kLeaseTerm + kLeaseRenewal + m_longest_delay + m_longest_request + kModelStep;
      const std::uint32_t bound = m_now - target.m_decreased_at < grace ? target.m_info.m_slots : target.m_allowance;
      const std::uint32_t used = InProgress(target.m_info.m_id);
      if (used > bound) m_worst_excess = std::max(m_worst_excess, used - bound);
    }
  }

  Random m_random;
  std::uint64_t m_last_epoch = 0;
  std::set<std::pair<HostId, HostId>> m_cut;
  std::multimap<Duration, Message> m_queue;
};

}  // namespace fighatch

#endif  // FIGHATCH_TESTS_ALLOWANCE_MODEL_H_
