#ifndef FIGHATCH_TESTS_FLOW_CLUSTER_IMPL_H_
#define FIGHATCH_TESTS_FLOW_CLUSTER_IMPL_H_

// The methods of `FlowCluster`; included by flow_cluster.h.

namespace fighatch {

/// How long the base list must be idle before the coordinator retires it.
inline constexpr std::int64_t kClusterIdleMs = 12'000;

inline FlowCluster::FlowCluster() {
  for (std::uint16_t data_centre : {std::uint16_t{1}, std::uint16_t{2}}) m_ground_truth.AddDataCentre(data_centre);
  for (std::uint32_t service : {1U, 2U}) {
    m_ground_truth.AddService(service, {1, 2}, 64);
    OwnerTable& shares = m_ground_truth.Table(service, 0);
    shares.m_current = {{1, 1}, {2, 1}};
    shares.m_base = shares.m_current;
    for (std::uint16_t data_centre : {std::uint16_t{1}, std::uint16_t{2}}) {
      for (std::uint32_t number = 1; number <= 3; ++number) m_ground_truth.AddTarget(service, data_centre, number);
    }
  }
  for (OwnerTable& table : m_ground_truth.m_tables) {
    table.m_version = {1, 1};
    m_changes[{table.m_service.m_value, table.m_data_centre.m_value}].m_wanted = table.m_current;
  }
  for (int count = 0; count < 3; ++count) AddBalancer(1, true);
  for (int count = 0; count < 2; ++count) AddBalancer(2, true);
}

inline void FlowCluster::AddBalancer(std::uint16_t data_centre, bool ready) {
  const auto host = static_cast<std::uint32_t>(m_balancers.size() + 1);
  m_ground_truth.AddBalancer(host, data_centre, ready);
  ++m_member_generation;
  auto balancer = std::make_unique<Balancer>();
  balancer->m_host = host;
  balancer->m_data_centre = data_centre;
  FlowDeciderOptions options = OptionsOf(host, 250);
  options.m_transfer.m_first_sequence = host * 1000;
  options.m_idle_limit = std::chrono::milliseconds(kClusterIdleMs + 3000);
  balancer->m_decider = std::make_unique<FlowDecider>(options);
  balancer->m_view = m_ground_truth;
  balancer->m_generation = m_generation;
  balancer->m_member_generation = m_member_generation;
  Rebuild(balancer.get());
  m_balancers.push_back(std::move(balancer));
  Heartbeat(m_balancers.back().get());
}

inline FlowCluster::Balancer* FlowCluster::FindBalancer(std::uint32_t host) {
  return host >= 1 && host <= m_balancers.size() ? m_balancers[host - 1].get() : nullptr;
}

inline std::vector<FlowCluster::Balancer*> FlowCluster::LiveBalancers() {
  std::vector<Balancer*> live;
  for (auto& balancer : m_balancers) {
    if (balancer->m_is_alive) live.push_back(balancer.get());
  }
  return live;
}

inline const TargetInfo* FlowCluster::FindTarget(std::uint64_t id) const {
  for (const TargetInfo& target : m_ground_truth.m_targets) {
    if (target.m_id.m_value == id) return &target;
  }
  return nullptr;
}

inline void FlowCluster::PublishTable(OwnerTable* table) {
  ++table->m_version.m_generation;
  Change& change = m_changes[{table->m_service.m_value, table->m_data_centre.m_value}];
  change.m_generation = ++m_generation;
  change.m_published = m_now;
}

inline void FlowCluster::Coordinate(OwnerTable* table) {
  Change& change = m_changes[{table->m_service.m_value, table->m_data_centre.m_value}];
  if (table->m_phase == TransitionPhase::kLearning) {
    bool all_acked = true;
    for (const Member& member : m_ground_truth.m_members) {
      const bool is_expected = member.m_state == MemberState::kAlive || member.m_state == MemberState::kSuspect;
      if (is_expected && FindBalancer(member.m_host.m_value)->m_generation < change.m_generation) all_acked = false;
    }
    const std::int64_t elapsed = m_now - change.m_published;
    if (elapsed < 1000 || (!all_acked && elapsed < 1500)) return;
    BeginMoving(table);
    PublishTable(table);
  } else if (change.m_wanted != table->m_current) {
    if (BeginLearning(table, change.m_wanted)) PublishTable(table);
  } else if (table->m_phase == TransitionPhase::kMoving && m_now - change.m_published > kClusterIdleMs) {
    for (Balancer* balancer : LiveBalancers()) {
      const std::uint32_t idle =
          balancer->m_decider->BaseIdleSeconds(table->m_service, table->m_data_centre, AtMs(m_now));
      if (balancer->m_generation < change.m_generation || idle * 1000 < kClusterIdleMs) return;
    }
    RetireBase(table);
    PublishTable(table);
  }
}

/// The coordinator confirms the table of a balancer that has the newest one, and sends it the update otherwise.
inline void FlowCluster::Heartbeat(Balancer* balancer) {
  if (balancer->m_isolated_until > m_now) return;
  if (IsConfirmed(*balancer)) {
    balancer->m_contact.m_table_confirmed = AtMs(m_now);
  } else if (!balancer->m_has_pending_update && !Chance(m_loss)) {
    balancer->m_has_pending_update = true;
    const std::int64_t delay = balancer->m_slow_until > m_now ? Delay(200, 1400) : Delay(2, 60);
    Schedule(delay, [this, balancer, tables = m_ground_truth.m_tables, targets = m_ground_truth.m_targets,
                     state = m_ground_truth.m_state, generation = m_generation] {
      balancer->m_has_pending_update = false;
      if (balancer->m_generation >= generation) return;
      balancer->m_generation = generation;
      balancer->m_view.m_tables = tables;
      balancer->m_view.m_targets = targets;
      balancer->m_view.m_state = state;
      Rebuild(balancer);
    });
  }
  balancer->m_contact.m_peer_heard = AtMs(m_now);
  balancer->m_contact.m_fresh_peer = HostId{};
}

inline void FlowCluster::SendMembers(Balancer* balancer) {
  if (balancer->m_member_generation == m_member_generation) return;
  Schedule(Delay(2, 300), [this, balancer, members = m_ground_truth.m_members, generation = m_member_generation] {
    if (balancer->m_member_generation >= generation) return;
    balancer->m_member_generation = generation;
    balancer->m_view.m_members = members;
    Rebuild(balancer);
  });
}

inline void FlowCluster::Rebuild(Balancer* balancer) {
  if (balancer->m_is_leaving) balancer->m_view.MemberOf(balancer->m_host).m_state = MemberState::kLeft;
  balancer->m_table = balancer->m_view.Build(balancer->m_host, balancer->m_data_centre, balancer->m_table.get());
  balancer->m_decider->SetTable(balancer->m_table, AtMs(m_now));
}

inline void FlowCluster::ChangeMember(std::uint32_t host, MemberState state) {
  m_ground_truth.MemberOf(host).m_state = state;
  ++m_member_generation;
}

/// A joining balancer becomes ready, and a leaving one stops, once the records have been transferred.
inline void FlowCluster::CheckMembership(Balancer* balancer) {
  Member& member = m_ground_truth.MemberOf(balancer->m_host);
  if (!member.m_keeper_ready && balancer->m_decider->HasAllRecords()) {
    member.m_keeper_ready = true;
    ++m_member_generation;
  }
  if (balancer->m_is_leaving && member.m_state == MemberState::kAlive && balancer->m_decider->IsTransferDone()) {
    ChangeMember(balancer->m_host, MemberState::kLeft);
    Schedule(2000, [balancer] { balancer->m_is_alive = false; });
  }
}

inline void FlowCluster::InjectFault(Fault fault) {
  if (fault >= Fault::kTargetJoin && fault <= Fault::kWeightChange) InjectTargetFault(fault);
  if (fault >= Fault::kBalancerJoin && fault <= Fault::kSlowUpdates) InjectBalancerFault(fault);
  if (fault >= Fault::kDataCentreOut && fault < Fault::kCount) InjectDataCentreFault(fault);
}

inline void FlowCluster::InjectTargetFault(Fault fault) {
  const auto service = static_cast<std::uint32_t>(1 + m_random.Below(2));
  const auto data_centre = static_cast<std::uint16_t>(1 + m_random.Below(2));
  std::vector<OwnerEntry>& wanted = m_changes[{service, data_centre}].m_wanted;
  OwnerTable& table = m_ground_truth.Table(service, data_centre);
  if (fault == Fault::kTargetJoin) {
    const TargetId joined = m_ground_truth.AddTarget(service, data_centre, ++m_last_target % 100, false);
    wanted.push_back({joined.m_value, static_cast<std::uint16_t>(2 + m_random.Below(16))});
    return;
  }
  if (wanted.size() < 2) return;
  const std::size_t index = m_random.Below(wanted.size());
  const std::uint64_t id = wanted[index].m_id;
  if (fault == Fault::kWeightChange) {
    wanted[index].m_weight = static_cast<std::uint16_t>(1 + m_random.Below(16));
    return;
  }
  wanted.erase(wanted.begin() + static_cast<std::ptrdiff_t>(index));
  if (fault == Fault::kTargetDrain) {
    m_oracle.OnDrain(id, m_now);
    return;
  }
  m_oracle.OnTargetGone(id);
  std::erase_if(m_ground_truth.m_targets, [id](const TargetInfo& target) { return target.m_id.m_value == id; });
  RemoveOwner(&table, id);
  PublishTable(&table);
}

inline void FlowCluster::InjectBalancerFault(Fault fault) {
  const std::vector<Balancer*> live = LiveBalancers();
  Balancer* balancer = live[m_random.Below(live.size())];
  if (fault == Fault::kSlowUpdates) {
    balancer->m_slow_until = m_now + 6000;
    return;
  }
  if (fault == Fault::kBalancerJoin) {
    if (live.size() < 8) AddBalancer(balancer->m_data_centre, false);
    return;
  }
  // Balancers are lost one at a time, since the loss of both keepers in a transition breaks flows by design.
  const auto remaining = std::count_if(live.begin(), live.end(), [&](const Balancer* other) {
    const Member& member = m_ground_truth.MemberOf(other->m_host);
    return other->m_data_centre == balancer->m_data_centre && member.m_keeper_ready && !other->m_is_leaving;
  });
  if (remaining < 3 || balancer->m_is_leaving || m_now - m_last_balancer_fault < 8000) return;
  m_last_balancer_fault = m_now;
  const std::uint32_t host = balancer->m_host;
  if (fault == Fault::kBalancerLeave) {
    balancer->m_is_leaving = true;
    Rebuild(balancer);
    return;
  }
  m_oracle.OnBalancerLost(host);
  if (fault == Fault::kBalancerIsolation) {
    balancer->m_isolated_until = m_now + 6000;
    Schedule(11'000, [this, host] { m_oracle.OnBalancerBack(host); });
    return;
  }
  balancer->m_is_alive = false;
  Schedule(500, [this, host] { ChangeMember(host, MemberState::kSuspect); });
  Schedule(2000, [this, host] { ChangeMember(host, MemberState::kDead); });
}

inline void FlowCluster::InjectDataCentreFault(Fault fault) {
  DataCentre& second = m_ground_truth.m_state.m_data_centres["dc2"];
  for (std::uint32_t service : {1U, 2U}) {
    OwnerTable& shares = m_ground_truth.Table(service, 0);
    std::vector<OwnerEntry>& wanted = m_changes[{service, 0}].m_wanted;
    if (fault == Fault::kShareChange && service == 1 && wanted.size() == 2) {
      wanted[1].m_weight = static_cast<std::uint16_t>(1 + m_random.Below(4));
    } else if (fault == Fault::kDataCentreOut && second.m_state == DataCentreState::kIn) {
      wanted = {{1, 1}};
      RemoveOwner(&shares, 2);
      PublishTable(&shares);
    } else if (fault == Fault::kDataCentreIn && second.m_state == DataCentreState::kOut) {
      wanted = {{1, 1}, {2, 1}};
    }
  }
  if (fault == Fault::kDataCentreOut && second.m_state == DataCentreState::kIn) {
    second.m_state = DataCentreState::kOut;
    m_oracle.OnDataCentreOut(2, m_now);
  } else if (fault == Fault::kDataCentreIn && second.m_state == DataCentreState::kOut) {
    second.m_state = DataCentreState::kIn;
    m_oracle.OnDataCentreIn(2);
  }
  ++m_generation;
}

inline void FlowCluster::SendFromCaller(std::uint32_t flow) {
  Caller& caller = m_callers[flow];
  PacketKind kind = caller.m_is_udp ? PacketKind::kDatagram : PacketKind::kLater;
  caller.m_next_send = m_now + (caller.m_is_udp ? Delay(40, 120) : Delay(50, 3000));
  if (!caller.m_is_udp && caller.m_target == 0) {
    kind = PacketKind::kFirst;
    caller.m_next_send = m_now + (1000LL << caller.m_attempts);
    if (++caller.m_attempts > 2) caller.m_next_send = m_now + 1'000'000'000;
  }
  SendToFabric(PacketOf(flow, kind, caller.m_service), flow);
}

/// The fabric sends a packet to any balancer, sometimes late or twice.
inline void FlowCluster::SendToFabric(const Packet& packet, std::uint32_t flow) {
  const int copies = Chance(3) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto host = static_cast<std::uint32_t>(1 + m_random.Below(m_balancers.size()));
    if (m_ground_truth.MemberOf(host).m_state >= MemberState::kDead || Chance(m_loss)) continue;
    Schedule(Chance(5) ? Delay(10, 400) : Delay(1, 5), [this, host, packet, flow] { Receive(host, packet, flow); });
  }
}

inline void FlowCluster::Receive(std::uint32_t host, const Packet& packet, std::uint32_t flow) {
  Balancer* balancer = FindBalancer(host);
  if (!balancer->m_is_alive) return;
  for (Balancer* peer : LiveBalancers()) {
    const bool is_fresh = peer->m_data_centre == balancer->m_data_centre && IsConfirmed(*peer) && !peer->m_is_leaving;
    if (peer != balancer && is_fresh) balancer->m_contact.m_fresh_peer = HostId{peer->m_host};
  }
  balancer->m_decider->SetContact(balancer->m_contact);
  const Decision decision = balancer->m_decider->Decide(packet, AtMs(m_now));
  if (decision.m_kind == DecisionKind::kTarget) Deliver(*balancer, decision, packet, flow);
  if (decision.m_kind != DecisionKind::kBalancer || Chance(m_loss)) return;
  Packet forwarded = packet;
  forwarded.m_reason = decision.m_reason;
  ++forwarded.m_hop_count;
  Schedule(Delay(1, 5),
           [this, next = decision.m_balancer.m_value, forwarded, flow] { Receive(next, forwarded, flow); });
}

inline void FlowCluster::Deliver(const Balancer& balancer, const Decision& decision, const Packet& packet,
                                 std::uint32_t flow) {
  const TargetInfo* target = FindTarget(decision.m_target.m_value);
  if (target == nullptr) return;
  const Caller& caller = m_callers[flow];
  const bool is_isolated = balancer.m_contact.m_fresh_peer == HostId{} && balancer.m_decider->IsStale(AtMs(m_now));
  m_oracle.OnDelivery({flow, caller.m_service, packet.m_kind, *target, is_isolated}, balancer.m_host, m_now);
  if (packet.m_kind == PacketKind::kLater || Chance(m_loss)) return;
  Schedule(Delay(1, 10), [this, flow, id = target->m_id.m_value] {
    if (!m_oracle.EndsAt(flow, id)) return;
    m_callers[flow].m_target = id;
    m_callers[flow].m_next_send = std::min(m_callers[flow].m_next_send, m_now + Delay(1, 200));
    m_oracle.OnEstablished(flow);
  });
}

inline void FlowCluster::SendRecords(Balancer* balancer) {
  for (const OutgoingRecords& send : balancer->m_decider->Tick(AtMs(m_now))) {
    const int copies = Chance(3) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (Chance(m_loss)) continue;
      Schedule(Chance(5) ? Delay(10, 400) : Delay(1, 5), [this, balancer, send] {
        Balancer* receiver = FindBalancer(send.m_host.m_value);
        if (!receiver->m_is_alive) return;
        const FlowRecordsAck ack = receiver->m_decider->OnRecords(send.m_message, AtMs(m_now));
        if (!Chance(m_loss)) Schedule(Delay(1, 5), [balancer, ack] { balancer->m_decider->OnAck(ack); });
      });
    }
  }
}

inline void FlowCluster::Advance() {
  ++m_now;
  for (; !m_events.empty() && m_events.begin()->first <= m_now; m_events.erase(m_events.begin())) {
    const std::function<void()> action = m_events.begin()->second;
    action();
  }
  if (m_now % 10 != 0) return;
  for (auto& [flow, caller] : m_callers) {
    if (!caller.m_is_closed && caller.m_next_send <= m_now) SendFromCaller(flow);
  }
  for (Balancer* balancer : LiveBalancers()) {
    if (m_now % 20 == 0) SendRecords(balancer);
    if (m_now % 100 == 0) SendMembers(balancer);
    if (m_now % 100 == 0) Heartbeat(balancer);
    CheckMembership(balancer);
  }
  for (OwnerTable& table : m_ground_truth.m_tables) Coordinate(&table);
}

inline void FlowCluster::Apply(const Step& step) {
  m_random = Random(step.m_seed);
  if (step.m_kind == StepKind::kOpen) {
    for (std::uint32_t count = 0; count < step.m_first_argument; ++count) {
      Caller caller;
      caller.m_service = static_cast<std::uint32_t>(1 + m_random.Below(2));
      caller.m_is_udp = Chance(25);
      caller.m_next_send = m_now + Delay(0, 1500);
      if (m_last_flow > m_open_callers) m_callers[m_last_flow - m_open_callers].m_is_closed = true;
      m_callers[++m_last_flow] = caller;
    }
  } else if (step.m_kind == StepKind::kRun) {
    m_loss = step.m_second_argument;
    for (std::uint32_t ms = 0; ms < step.m_first_argument * 100; ++ms) Advance();
  } else if (m_now - m_last_fault >= 3000) {
    m_last_fault = m_now;
    InjectFault(static_cast<Fault>(step.m_first_argument));
    InjectFault(static_cast<Fault>(step.m_second_argument));
  }
}

}  // namespace fighatch

#endif  // FIGHATCH_TESTS_FLOW_CLUSTER_IMPL_H_
