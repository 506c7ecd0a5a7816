// Embeds the flow decider in a program that passes in packets and the time. Prints where packets of two flows go before
// and during a change of targets.

#include <chrono>
#include <iostream>

#include "fighatch/fighatch.h"

namespace {

using namespace fighatch;  // NOLINT(google-build-using-namespace): an example reads better without qualification.
constexpr ServiceId kService{1};
constexpr DataCentreId kDataCentre{1};
Endpoint At(const char* text) { return ValueOf(ParseEndpoint(text)); }

StateDocument MakeState() {
  StateDocument state;
  state.m_version = {1, 1};
  state.m_data_centres["north"].m_id = kDataCentre;
  Service& service = state.m_services["ledger-house"];
  service.m_id = kService;
  service.m_addresses = {{At("198.51.100.11:443"), Transport::kTcp}};
  service.m_weights = {{"north", 1}};
  return state;
}

TargetInfo MakeTarget(std::uint64_t id, const char* endpoint) {
  TargetInfo target;
  target.m_id = TargetId{id};
  target.m_service = kService;
  target.m_data_centre = kDataCentre;
  target.m_gue_endpoint = At(endpoint);
  return target;
}

}  // namespace

int main() {
  const StateDocument state = MakeState();
  const std::vector<TargetInfo> targets = {MakeTarget(1, "192.0.2.1:6080"), MakeTarget(2, "192.0.2.2:6080")};
  OwnerTable table;
  table.m_service = kService;
  table.m_data_centre = kDataCentre;
  table.m_base = table.m_current = {{1, 16}};
  Member self;
  self.m_host = HostId{1};
  self.m_data_centre = kDataCentre;
  self.m_keeper_ready = true;

  FlowDecider decider{{}};
  const TimePoint now{std::chrono::seconds(100)};
  decider.SetContact({now, now, {}});
  const auto set_table = [&] {
    ForwardingTableInput input;
    input.m_state = &state;
    input.m_tables = std::span(&table, 1);
    input.m_targets = targets;
    input.m_members = std::span(&self, 1);
    input.m_self = self.m_host;
    input.m_self_data_centre = kDataCentre;
    decider.SetTable(ForwardingTable::Build(input), now);
  };
  const auto endpoint_for = [&](const char* caller, std::uint8_t flags) {
    InnerPacket packet;
    packet.m_key = {At(caller), At("198.51.100.11:443"), Transport::kTcp};
    packet.m_tcp.m_flags = flags;
    return ToString(decider.Decide(MakePacket(GueHeader{}, packet), now).m_endpoint);
  };

  set_table();
  std::cout << "first packet: " << endpoint_for("203.0.113.1:4000", kTcpSyn) << "\n";
  table.m_phase = TransitionPhase::kMoving;
  table.m_current = {{2, 16}};
  set_table();
  const std::string open_flow = endpoint_for("203.0.113.1:4000", kTcpAck);
  const std::string new_flow = endpoint_for("203.0.113.2:4001", kTcpSyn);
  std::cout << "open flow: " << open_flow << ", new flow: " << new_flow << "\n";
  return open_flow == "192.0.2.1:6080" && new_flow == "192.0.2.2:6080" ? 0 : 1;
}
