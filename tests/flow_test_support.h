#ifndef FIGHATCH_TESTS_FLOW_TEST_SUPPORT_H_
#define FIGHATCH_TESTS_FLOW_TEST_SUPPORT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fighatch/flow_decider.h"
#include "fighatch/forwarding_table.h"
#include "fighatch/transition.h"

namespace fighatch {

inline TimePoint AtMs(std::int64_t milliseconds) { return TimePoint(std::chrono::milliseconds(milliseconds)); }

inline Endpoint V4(std::uint32_t address, std::uint16_t port) { return {IpAddress::FromV4(address), port}; }

/// Services, data centres, targets and members from which tables are built. Service n listens at 198.51.100.n:80; the
/// id of a target is service * 1000 + data centre * 100 + number.
struct TableFixture {
  StateDocument m_state;
  std::vector<OwnerTable> m_tables;
  std::vector<TargetInfo> m_targets;
  std::vector<Member> m_members;
  std::vector<DataCentreId> m_cut_off;
  std::vector<DataCentreId> m_recently_cut_off;

  static Endpoint ServiceAt(std::uint32_t service) { return V4(0xC6336400U + service, 80); }

  DataCentre& AddDataCentre(std::uint16_t id) {
    DataCentre& data_centre = m_state.m_data_centres["dc" + std::to_string(id)];
    data_centre.m_name = "dc" + std::to_string(id);
    data_centre.m_id = DataCentreId{id};
    return data_centre;
  }
  void AddService(std::uint32_t id, const std::vector<std::uint16_t>& data_centres, std::uint32_t slots = 1024) {
    Service& service = m_state.m_services["service" + std::to_string(id)];
    service.m_id = ServiceId{id};
    service.m_hash_slots = slots;
    for (const Transport transport : {Transport::kTcp, Transport::kUdp}) {
      service.m_addresses.push_back({ServiceAt(id), transport});
    }
    for (const std::uint16_t data_centre : data_centres) {
      service.m_weights.push_back({"dc" + std::to_string(data_centre), 1});
    }
  }
  /// Adds a target and, if `owns`, an owner entry of weight 16 in the settled table of its data centre.
  TargetId AddTarget(std::uint32_t service, std::uint16_t data_centre, std::uint32_t number, bool owns = true) {
    TargetInfo target;
    target.m_id = TargetId{service * 1000ULL + data_centre * 100ULL + number};
    target.m_service = ServiceId{service};
    target.m_data_centre = DataCentreId{data_centre};
    target.m_gue_endpoint = V4(0x0A000000U + static_cast<std::uint32_t>(target.m_id.m_value), 6080);
    target.m_state = TargetState::kServing;
    m_targets.push_back(target);
    OwnerTable& table = Table(service, data_centre);
    if (owns) {
      table.m_current.push_back({target.m_id.m_value, 16});
      table.m_base = table.m_current;
    }
    return target.m_id;
  }
  OwnerTable& Table(std::uint32_t service, std::uint16_t data_centre) {
    for (OwnerTable& table : m_tables) {
      if (table.m_service.m_value == service && table.m_data_centre.m_value == data_centre) return table;
    }
    m_tables.push_back({});
    m_tables.back().m_service = ServiceId{service};
    m_tables.back().m_data_centre = DataCentreId{data_centre};
    return m_tables.back();
  }
  void AddBalancer(std::uint32_t host, std::uint16_t data_centre, bool ready = true) {
    Member member;
    member.m_host = HostId{host};
    member.m_data_centre = DataCentreId{data_centre};
    member.m_data_endpoint = V4(0x0A010000U + host, 6080);
    member.m_keeper_ready = ready;
    m_members.push_back(member);
  }
  Member& MemberOf(std::uint32_t host) {
    for (Member& member : m_members) {
      if (member.m_host.m_value == host) return member;
    }
    std::abort();
  }
  [[nodiscard]] std::shared_ptr<const ForwardingTable> Build(std::uint32_t self, std::uint16_t data_centre,
                                                             const ForwardingTable* previous = nullptr) const {
    ForwardingTableInput input;
    input.m_state = &m_state;
    input.m_tables = m_tables;
    input.m_targets = m_targets;
    input.m_members = m_members;
    input.m_self = HostId{self};
    input.m_self_data_centre = DataCentreId{data_centre};
    input.m_cut_off = m_cut_off;
    input.m_recently_cut_off = m_recently_cut_off;
    input.m_previous = previous;
    return ForwardingTable::Build(input);
  }
};

/// A packet of flow `number`, which determines the source, to a service.
inline Packet PacketOf(std::uint32_t number, PacketKind kind, std::uint32_t service = 1) {
  Packet packet;
  packet.m_key.m_source = V4(0xC0000200U + number / 50000, static_cast<std::uint16_t>(1024 + number % 50000));
  packet.m_key.m_destination = TableFixture::ServiceAt(service);
  packet.m_key.m_transport = kind == PacketKind::kDatagram ? Transport::kUdp : Transport::kTcp;
  packet.m_flow_hash = FlowHash(packet.m_key);
  packet.m_kind = kind;
  return packet;
}

inline FlowDeciderOptions OptionsOf(std::uint32_t host, std::size_t capacity = 4096) {
  FlowDeciderOptions options;
  options.m_transfer.m_self = HostId{host};
  options.m_record_capacity = capacity;
  return options;
}

inline FlowContact FreshContact(TimePoint now, std::uint32_t fresh_peer = 0) { return {now, now, HostId{fresh_peer}}; }

}  // namespace fighatch

#endif  // FIGHATCH_TESTS_FLOW_TEST_SUPPORT_H_
