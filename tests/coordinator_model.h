#ifndef FIGHATCH_TESTS_COORDINATOR_MODEL_H_
#define FIGHATCH_TESTS_COORDINATOR_MODEL_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fighatch/coordinator.h"

namespace fighatch {

inline constexpr Duration kTick = std::chrono::milliseconds(50);
using TableKey = std::pair<ServiceId, DataCentreId>;

/// Checks the invariants of every published table, whichever host publishes it, and keeps the first violation.
class TableOracle {
 public:
  /// `publisher` is one incarnation of a host: a restarted host learns its former epochs from the others.
  void OnPublished(std::pair<HostId, Incarnation> publisher, const OwnerTable& table, const std::set<HostId>& awaited,
                   Duration now) {
    const TableKey key{table.m_service, table.m_data_centre};
    const auto [known, first] = m_published.try_emplace({key, table.m_version}, table);
    if (!first) return Expect(known->second == table, "two tables under one version");
    Version& newest = m_newest[{publisher, key}];
    Expect(table.m_version > newest, "version decreased at its publisher");
    newest = table.m_version;
    Phase& phase = m_phases[{publisher, key}];
    // Under a new epoch, a table in phase `kLearning` returns to the phase before it.
    const bool same_epoch = table.m_version.m_epoch == phase.m_version.m_epoch;
    if (same_epoch && table.m_phase == TransitionPhase::kMoving && phase.m_phase == TransitionPhase::kLearning)
      CheckMoving(phase, awaited, now);
    // The removal of a dead owner adds nothing to learn, so the phase keeps its start time.
    const bool new_owner = std::any_of(table.m_next.begin(), table.m_next.end(), [&](const OwnerEntry& entry) {
      return std::find(phase.m_next.begin(), phase.m_next.end(), entry) == phase.m_next.end();
    });
    if (table.m_phase != phase.m_phase || new_owner) phase.m_since = now;
    phase.m_phase = table.m_phase;
    phase.m_next = table.m_next;
    phase.m_version = table.m_version;
  }
  void OnAckArrived(HostId publisher, const TableAck& ack) {
    m_acks[{publisher, {ack.m_service, ack.m_data_centre}, ack.m_version}].insert(ack.m_host);
  }
  void OnApplied(Version before, Version after) { Expect(after > before, "version decreased at a balancer"); }
  void Expect(bool holds, const std::string& what) {
    if (!holds && m_fault.empty()) m_fault = what;
  }
  std::string m_fault;

 private:
  struct Phase {
    TransitionPhase m_phase = TransitionPhase::kSettled;
    std::vector<OwnerEntry> m_next;
    Version m_version;
    Duration m_since{};
  };
  void CheckMoving(const Phase& phase, const std::set<HostId>& awaited, Duration now) {
    const Duration learned = now - phase.m_since;
    Expect(learned >= kLearningTime, "moving before 1 s");
    const bool all = std::all_of(awaited.begin(), awaited.end(), [&](HostId host) {
      return std::any_of(m_acks.begin(), m_acks.end(), [&](const auto& item) {
        return std::get<2>(item.first) == phase.m_version && item.second.contains(host);
      });
    });
    Expect(all || learned >= kLearningLimit, "moving before 1.5 s without every acknowledgement");
  }
  std::map<std::pair<TableKey, Version>, OwnerTable> m_published;
  std::map<std::pair<std::pair<HostId, Incarnation>, TableKey>, Version> m_newest;
  std::map<std::pair<std::pair<HostId, Incarnation>, TableKey>, Phase> m_phases;
  std::map<std::tuple<HostId, TableKey, Version>, std::set<HostId>> m_acks;
};

/// Simulates hosts and targets of several data centres under virtual time, with lost and late messages and cut links.
class CoordinatorModel {
 public:
  struct Host {
    Member m_member;
    bool m_alive = true;
    Random m_random{1};
    std::unique_ptr<Coordinator> m_coordinator;
    std::unique_ptr<TargetRegistry> m_registry;
    std::map<TableKey, TableUpdate> m_tables;
    std::map<HostId, Duration> m_heard;
  };
  struct Target {
    TargetFact m_fact;
    bool m_alive = true;
  };

  /// `hosts` and `targets` are the numbers per data centre. In data centre n host ids start at 100 n and target ids at
  /// 1000 n.
  CoordinatorModel(std::uint32_t data_centres, std::uint32_t hosts, std::uint32_t targets, std::uint64_t seed)
      : m_random(seed) {
    m_state.m_services["s"].m_name = "s";
    m_state.m_services["s"].m_id = m_service;
    for (std::uint16_t index = 1; index <= data_centres; ++index) AddDataCentre(index, hosts, targets);
    for (auto& [id, host] : m_hosts) Start(&host);
  }

  void Run(Duration span) {
    for (const Duration end = m_now + span; m_now < end; m_now += kTick) Step();
  }
  void Kill(HostId id) { m_hosts[id].m_alive = false; }
  void Restart(HostId id) {
    ++m_hosts[id].m_member.m_incarnation.m_value;
    Start(&m_hosts[id]);
  }
  void Cut(const std::set<HostId>& from, const std::set<HostId>& to) {
    for (const HostId sender : from)
      for (const HostId receiver : to) m_cut.insert({sender, receiver});
  }
  void Heal() { m_cut.clear(); }
  void SetDataCentre(const std::string& name, DataCentreState state) {
    m_state.m_data_centres[name].m_state = state;
    for (auto& [id, host] : m_hosts) host.m_coordinator->SetState(m_state, Clock());
  }
  [[nodiscard]] const OwnerTable& TableAt(HostId host, DataCentreId data_centre) {
    return m_hosts[host].m_tables[{m_service, data_centre}].m_table;
  }
  [[nodiscard]] std::uint32_t WeightAt(HostId host, DataCentreId data_centre, std::uint64_t owner) {
    for (const OwnerEntry& entry : TableAt(host, data_centre).m_current)
      if (entry.m_id == owner) return entry.m_weight;
    return 0;
  }
  [[nodiscard]] TimePoint Clock() const { return TimePoint(m_now); }

  ServiceId m_service{1};
  StateDocument m_state;
  std::map<HostId, Host> m_hosts;
  std::vector<Target> m_targets;
  std::uint64_t m_loss_percent = 0;
  Duration m_longest_delay{};
  Duration m_now = std::chrono::seconds(1000);
  TableOracle m_oracle;

 private:
  struct Message {
    HostId m_from;
    HostId m_to;
    std::variant<TableUpdate, TableAck, TargetFacts> m_content;
  };

  void AddDataCentre(std::uint16_t index, std::uint32_t hosts, std::uint32_t targets) {
    const std::string name = "d" + std::to_string(index);
    DataCentre& data_centre = m_state.m_data_centres[name];
    data_centre.m_name = name;
    data_centre.m_id = {index};
    m_state.m_services["s"].m_weights.push_back({name, 1});
    for (std::uint32_t host = 0; host < hosts; ++host) {
      Member member;
      member.m_host = {index * 100U + host};
      member.m_data_centre = {index};
      member.m_incarnation = {1};
      m_hosts[member.m_host].m_member = member;
    }
    for (std::uint32_t target = 0; target < targets; ++target) {
      TargetInfo& info = m_targets.emplace_back().m_fact.m_info;
      info.m_id = {index * 1000U + target};
      info.m_service = m_service;
      info.m_data_centre = {index};
      info.m_http_endpoint.m_port = static_cast<std::uint16_t>(info.m_id.m_value);
      info.m_gue_endpoint.m_port = static_cast<std::uint16_t>(info.m_id.m_value + 10'000);
      info.m_incarnation = {1};
      info.m_slots = 2;
      info.m_state = TargetState::kServing;
    }
  }

  void Start(Host* host) {
    const Member& member = host->m_member;
    host->m_alive = true;
    host->m_random = Random(m_random());
    host->m_coordinator = std::make_unique<Coordinator>(
        CoordinatorConfig{member.m_host, member.m_data_centre, member.m_incarnation, std::chrono::seconds(10)},
        &host->m_random);
    host->m_registry = std::make_unique<TargetRegistry>(member.m_data_centre);
    host->m_tables.clear();
    for (auto& [id, other] : m_hosts) host->m_heard[id] = m_now;
    host->m_coordinator->SetState(m_state, Clock());
  }

  void Step() {
    Deliver();
    if (m_now % std::chrono::milliseconds(500) == Duration{}) Announce();
    for (auto& [id, host] : m_hosts) {
      if (host.m_alive) StepHost(&host);
    }
  }

  void Announce() {
    for (Target& target : m_targets) {
      if (!target.m_alive) continue;
      ++target.m_fact.m_sequence;
      std::vector<Host*> receivers;
      for (auto& [id, host] : m_hosts)
        if (host.m_alive && host.m_member.m_data_centre == target.m_fact.m_info.m_data_centre)
          receivers.push_back(&host);
      if (receivers.empty()) continue;
      Host& host = *receivers[m_random.Below(receivers.size())];
      (void)host.m_registry->Record(target.m_fact, Clock());
      host.m_registry->OnHealthCheck(target.m_fact.m_info.m_id, target.m_fact.m_info.m_incarnation, true);
    }
  }

  void StepHost(Host* host) {
    std::vector<Member> members;
    for (auto& [id, other] : m_hosts) {
      if (id == host->m_member.m_host || (other.m_alive && !m_cut.contains({id, host->m_member.m_host})))
        host->m_heard[id] = m_now;
      Member member = other.m_member;
      member.m_state = m_now - host->m_heard[id] >= std::chrono::seconds(2) ? MemberState::kDead : MemberState::kAlive;
      members.push_back(member);
    }
    host->m_coordinator->SetMembers(members, Clock());
    host->m_registry->Tick(Clock());
    TargetFacts facts = host->m_registry->TakeFacts(host->m_member.m_host, Clock());
    if (!facts.m_facts.empty() || !facts.m_refreshes.empty())
      Send(host->m_member.m_host, host->m_coordinator->Elected(), facts);
    const CoordinatorActions actions = host->m_coordinator->Tick(*host->m_registry, Clock());
    CheckPublished(*host, members);
    for (const TableSend& send : actions.m_updates) Send(host->m_member.m_host, send.m_to, send.m_update);
    for (const AckSend& send : actions.m_acks) Send(host->m_member.m_host, send.m_to, send.m_ack);
  }

  void CheckPublished(const Host& host, const std::vector<Member>& members) {
    if (!host.m_coordinator->IsActive()) return;
    std::set<HostId> awaited;
    for (const Member& member : members)
      if (member.m_data_centre == host.m_member.m_data_centre && member.m_state == MemberState::kAlive)
        awaited.insert(member.m_host);
    for (const DataCentreId data_centre : {host.m_member.m_data_centre, DataCentreId{}}) {
      const TableUpdate* update = host.m_coordinator->KnownTable(m_service, data_centre);
      if (update != nullptr && update->m_table.m_version.m_epoch == host.m_coordinator->Epoch())
        m_oracle.OnPublished({host.m_member.m_host, host.m_member.m_incarnation}, update->m_table, awaited, m_now);
    }
  }

  template <typename Content>
  void Send(HostId from, HostId to, const Content& content) {
    if (m_cut.contains({from, to}) || (from != to && m_random.Below(100) < m_loss_percent)) return;
    const auto delay = m_random.Below(static_cast<std::uint64_t>(m_longest_delay / kTick) + 1);
    m_queue.emplace(m_now + static_cast<std::int64_t>(delay) * kTick, Message{from, to, content});
  }

  void Deliver() {
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
      const Message message = m_queue.begin()->second;
      m_queue.erase(m_queue.begin());
      Host& host = m_hosts[message.m_to];
      if (!host.m_alive) continue;
      if (const auto* ack = std::get_if<TableAck>(&message.m_content)) {
        m_oracle.OnAckArrived(message.m_to, *ack);
        host.m_coordinator->OnAck(*ack, Clock());
      } else if (const auto* facts = std::get_if<TargetFacts>(&message.m_content)) {
        host.m_registry->Merge(*facts, Clock());
      } else {
        Apply(&host, message.m_from, std::get<TableUpdate>(message.m_content));
      }
    }
  }

  void Apply(Host* host, HostId from, const TableUpdate& update) {
    TableUpdate& table = host->m_tables[{update.m_table.m_service, update.m_table.m_data_centre}];
    if (update.m_table.m_version > table.m_table.m_version) table = update;
    const bool relayed = host->m_coordinator->OnTableUpdate(update, from, Clock());
    const TableAck ack{host->m_member.m_host, m_service, update.m_table.m_data_centre, table.m_table.m_version, 0};
    if (relayed) {
      host->m_coordinator->OnAck(ack, Clock());
    } else {
      Send(host->m_member.m_host, from, ack);
    }
  }

  Random m_random;
  std::set<std::pair<HostId, HostId>> m_cut;
  std::multimap<Duration, Message> m_queue;
};

}  // namespace fighatch

#endif  // FIGHATCH_TESTS_COORDINATOR_MODEL_H_
