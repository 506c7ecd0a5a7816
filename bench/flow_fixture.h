#ifndef FIGHATCH_BENCH_FLOW_FIXTURE_H_
#define FIGHATCH_BENCH_FLOW_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "fighatch/flow_decider.h"
#include "fighatch/forwarding_table.h"
#include "fighatch/transition.h"

namespace fighatch::bench {

inline TimePoint AtMs(std::int64_t milliseconds) { return TimePoint(std::chrono::milliseconds(milliseconds)); }

/// One data centre with services, targets of weight 16 for each, and balancers 1 to n, from which tables are built.
struct FlowFixture {
  StateDocument m_state;
  std::vector<OwnerTable> m_tables;
  std::vector<TargetInfo> m_targets;
  std::vector<Member> m_members;

  FlowFixture(std::uint32_t services, std::uint32_t targets, std::uint32_t balancers) {
    DataCentre& data_centre = m_state.m_data_centres["north"];
    data_centre.m_name = "north";
    data_centre.m_id = DataCentreId{1};
    for (std::uint32_t id = 1; id <= services; ++id) AddService(id, targets);
    for (std::uint32_t host = 1; host <= balancers; ++host) AddBalancer(host, true);
  }
  static Endpoint ServiceAt(std::uint32_t service) { return {IpAddress::FromV4(0xC6120000U + service), 80}; }

  void AddService(std::uint32_t id, std::uint32_t targets) {
    Service& service = m_state.m_services["service" + std::to_string(id)];
    service.m_id = ServiceId{id};
    service.m_addresses.push_back({ServiceAt(id), Transport::kTcp});
    service.m_weights.push_back({"north", 1});
    m_tables.push_back({});
    m_tables.back().m_service = ServiceId{id};
    m_tables.back().m_data_centre = DataCentreId{1};
    for (std::uint32_t number = 1; number <= targets; ++number) {
      m_tables.back().m_current.push_back({AddTarget(id, number).m_value, 16});
    }
    m_tables.back().m_base = m_tables.back().m_current;
  }
  TargetId AddTarget(std::uint32_t service, std::uint32_t number) {
    TargetInfo target;
    target.m_id = TargetId{service * 1000000ULL + number};
    target.m_service = ServiceId{service};
    target.m_data_centre = DataCentreId{1};
    target.m_gue_endpoint = {IpAddress::FromV4(0x0A000000U + number), 6080};
    target.m_state = TargetState::kServing;
    m_targets.push_back(target);
    return target.m_id;
  }
  Member& AddBalancer(std::uint32_t host, bool ready) {
    Member member;
    member.m_host = HostId{host};
    member.m_data_centre = DataCentreId{1};
    member.m_data_endpoint = {IpAddress::FromV4(0x0A010000U + host), 6080};
    member.m_keeper_ready = ready;
    m_members.push_back(member);
    return m_members.back();
  }
  [[nodiscard]] std::shared_ptr<const ForwardingTable> Build(std::uint32_t self,
                                                             const ForwardingTable* previous = nullptr) const {
    ForwardingTableInput input;
    input.m_state = &m_state;
    input.m_tables = m_tables;
    input.m_targets = m_targets;
    input.m_members = m_members;
    input.m_self = HostId{self};
    input.m_self_data_centre = DataCentreId{1};
    input.m_previous = previous;
    return ForwardingTable::Build(input);
  }
};

/// A packet of flow `number` to service 1.
inline Packet PacketOf(std::uint32_t number, PacketKind kind) {
  Packet packet;
  packet.m_key.m_source = {IpAddress::FromV4(0xC0A80000U + number / 60000),
                           static_cast<std::uint16_t>(1024 + number % 60000)};
  packet.m_key.m_destination = FlowFixture::ServiceAt(1);
  packet.m_flow_hash = FlowHash(packet.m_key);
  packet.m_kind = kind;
  packet.m_tcp.m_sequence = number;
  packet.m_payload_bytes = 100;
  return packet;
}

/// Runs `action` and returns the elapsed time in seconds.
template <typename Action>
double SecondsOf(const Action& action) {
  const auto start = std::chrono::steady_clock::now();
  action();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/// Runs `action` and returns the CPU time of this process that it took, in seconds.
template <typename Action>
double CpuSecondsOf(const Action& action) {
  const std::clock_t start = std::clock();
  action();
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_FLOW_FIXTURE_H_
