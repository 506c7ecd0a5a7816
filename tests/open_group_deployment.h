#ifndef FIGHATCH_TESTS_OPEN_GROUP_DEPLOYMENT_H_
#define FIGHATCH_TESTS_OPEN_GROUP_DEPLOYMENT_H_

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

#include "raft_cluster.h"

namespace fighatch::testing_support {

/// How long a host must have run and been connected before another one may be lost.
inline constexpr milliseconds kCatchUp{4000};

/// A group with open admission and the operations of its deployment. Every operation keeps within the losses that the
/// group must tolerate: at most `m_tolerated` disks at a time, and any number of hosts that are down or cut off.
class Deployment {
 public:
  Deployment(std::uint32_t hosts, std::size_t tolerated, std::uint64_t seed)
      : m_random(seed), m_tolerated(tolerated), m_cluster(hosts, seed, true, tolerated), m_next_host(hosts + 1) {
    for (std::uint32_t id = 1; id <= hosts; ++id) m_hosts.push_back(id);
    m_cluster.Run(kCatchUp);
  }

  [[nodiscard]] RaftCluster& Cluster() { return m_cluster; }
  [[nodiscard]] const std::vector<std::uint32_t>& Hosts() const { return m_hosts; }
  [[nodiscard]] const RaftConfiguration& Configuration() { return m_cluster.Node(m_cluster.Leader()).Configuration(); }

  std::uint32_t Add() {
    m_hosts.push_back(m_next_host);
    m_cluster.AddHost(m_next_host);
    m_cluster.SetSyncTime(m_next_host, m_sync_time_of_new_hosts);
    return m_next_host++;
  }

  void StopForGood(std::uint32_t id, bool announced) {
    if (announced) m_cluster.AnnounceStop(id);
    m_cluster.RemoveHost(id);
    std::erase(m_hosts, id);
  }

  void LoseDisk(std::uint32_t id, milliseconds down_for) {
    m_cluster.WipeUnconditionally(id);
    m_cluster.Run(down_for);
    m_cluster.Start(id);
  }

  // Cuts the first `count` hosts of `order` off from the others.
  void Cut(const std::vector<std::uint32_t>& order, std::size_t count) {
    for (std::size_t inside = 0; inside < count; ++inside) {
      for (std::size_t outside = count; outside < order.size(); ++outside) {
        m_cluster.Faults().m_blocked_links.insert({order[inside], order[outside]});
        m_cluster.Faults().m_blocked_links.insert({order[outside], order[inside]});
      }
    }
  }

  // Submits a change, and again to any new leader, and returns whether a leader has applied it within 500 ms and the
  // time that a slow disk takes.
  bool Accepts() {
    const Ticket ticket = MakeTicket(++m_number);
    for (milliseconds left = milliseconds(500) + kSyncsToAccept * m_longest_sync; left > milliseconds(0);
         left -= milliseconds(500)) {
      if (m_cluster.Leader() != 0) m_cluster.Submit(m_cluster.Leader(), ticket);
      m_cluster.Run(milliseconds(500));
      const std::uint32_t leader = m_cluster.Leader();
      if (leader != 0 && m_cluster.Processor(leader).Find(ticket.m_number, DigestOf(ticket))) return true;
    }
    return false;
  }

  // What is wrong with the group while all its hosts run and are connected; empty if nothing is.
  std::string Check() {
    if (!m_cluster.Oracle().Violation().empty()) return m_cluster.Oracle().Violation();
    if (!Accepts()) return "no leader accepts a change";
    m_cluster.Oracle().CheckAcceptedTickets(m_cluster.Processor(m_cluster.Leader()));
    return m_cluster.Oracle().Violation();
  }

  // From now on the disks of `count` random hosts are slow and those of the others fast.
  void SlowDisksDown(std::size_t count, SyncTime time) {
    const std::vector<std::uint32_t> order = Shuffled();
    for (std::size_t at = 0; at < order.size(); ++at) m_cluster.SetSyncTime(order[at], at < count ? time : SyncTime{});
    m_sync_time_of_new_hosts = count < order.size() ? SyncTime{} : time;
    m_longest_sync = time.Longest();
  }

  // Lets hosts that were added or have come back catch up.
  void CatchUp() { m_cluster.Run(kCatchUp + kSyncsToCatchUp * m_longest_sync); }

  // One random operation, after which all hosts run and have had time to catch up.
  void Step() {
    (void)Accepts();
    static constexpr std::array<void (Deployment::*)(), 6> kOperations{
        &Deployment::ReplaceAsPlanned, &Deployment::ReplaceLostHost, &Deployment::LoseDisks,
        &Deployment::LosePower,        &Deployment::CutHostsOff,     &Deployment::RestartInTurn};
    (this->*kOperations.at(m_random.Below(kOperations.size())))();
    CatchUp();
  }

 private:
  // Syncs, one after the other on one host, behind a write that has just begun: the entry in a new segment.
  static constexpr int kSyncsToAccept = 8;
  // The same for the way back: term, snapshot, entries, and after an election the votes of two hosts.
  static constexpr int kSyncsToCatchUp = 20;

  std::uint32_t AnyHost() { return m_hosts.at(m_random.Below(m_hosts.size())); }
  milliseconds Pause(std::uint64_t limit_ms) { return milliseconds(m_random.Below(limit_ms)); }

  std::vector<std::uint32_t> Shuffled() {
    std::vector<std::uint32_t> order = m_hosts;
    for (std::size_t last = order.size(); last > 1; --last) std::swap(order[last - 1], order[m_random.Below(last)]);
    return order;
  }

  // The new hosts come first. Once they have caught up, the hosts that they replace do not count as lost, so that disks
  // may be lost right after the stops.
  void ReplaceAsPlanned() {
    const std::uint64_t count = 1 + m_random.Below(2);
    const std::vector<std::uint32_t> order = Shuffled();
    for (std::uint64_t added = 0; added < count; ++added) Add();
    CatchUp();
    for (std::uint64_t stopped = 0; stopped < count; ++stopped) {
      StopForGood(order.at(stopped), true);
      m_cluster.Run(Pause(3000));
    }
    // A host with a slow disk counts as lost, so that no other one may be lost with it.
    if (m_longest_sync > milliseconds(0)) CatchUp();
    if (m_random.Below(2) == 0) LoseDisks();
  }

  void ReplaceLostHost() {
    StopForGood(AnyHost(), false);
    m_cluster.Run(Pause(2000));
    Add();
  }

  void LoseDisks() {
    const std::vector<std::uint32_t> order = Shuffled();
    const std::uint64_t count = 1 + m_random.Below(m_tolerated);
    for (std::uint64_t lost = 0; lost < count; ++lost) m_cluster.WipeUnconditionally(order.at(lost));
    m_cluster.Run(Pause(3000));
    for (std::uint64_t lost = 0; lost < count; ++lost) m_cluster.Start(order.at(lost));
  }

  void LosePower() {
    for (const std::uint32_t id : m_hosts) m_cluster.Crash(id);
    for (const std::uint32_t id : Shuffled()) {
      m_cluster.Start(id);
      m_cluster.Run(Pause(300));
    }
  }

  // Cuts off any number of hosts, also half of them or more; a disk may be lost meanwhile.
  void CutHostsOff() {
    const std::vector<std::uint32_t> order = Shuffled();
    Cut(order, 1 + m_random.Below(order.size() - 1));
    m_cluster.Run(Pause(10000));
    (void)Accepts();
    if (m_random.Below(2) == 0) LoseDisks();
    m_cluster.Run(Pause(5000));
    m_cluster.Faults().m_blocked_links.clear();
  }

  void RestartInTurn() {
    for (const std::uint32_t id : Shuffled()) {
      m_cluster.AnnounceStop(id);
      m_cluster.Crash(id);
      m_cluster.Run(Pause(1000));
      m_cluster.Start(id);
      m_cluster.Run(Pause(1000));
    }
  }

  Random m_random;
  std::size_t m_tolerated;
  RaftCluster m_cluster;
  std::vector<std::uint32_t> m_hosts;
  std::uint32_t m_next_host;
  std::uint64_t m_number = 0;
  milliseconds m_longest_sync{0};
  SyncTime m_sync_time_of_new_hosts;
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_OPEN_GROUP_DEPLOYMENT_H_
