#ifndef FIGHATCH_TESTS_STEERING_FIXTURE_H_
#define FIGHATCH_TESTS_STEERING_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "fighatch/cookie_steering.h"
#include "fighatch/host_address.h"

namespace fighatch::testing_support {

using std::chrono::milliseconds;

inline const Endpoint kPublicAddress{IpAddress::FromV4(0xC6120001), 443};
inline const std::string kService = "desk";

/// A target of `kService` with two slots, and with an id and an address derived from `number`.
inline AnnouncedTarget MakeTarget(std::uint32_t number, const std::string& data_centre = "a",
                                  RecordState state = RecordState::kReady) {
  AnnouncedTarget record;
  record.m_id = TargetId{0x1000 + number};
  record.m_start_unix_ms = 1000 + number;
  record.m_sequence = 1;
  record.m_endpoint = {IpAddress::FromV4(0x0A000000 + number), 8080};
  record.m_service = kService;
  record.m_data_centre = data_centre;
  record.m_slots = 2;
  record.m_state = state;
  return record;
}

inline Route MakeRoute(const Endpoint& address, const std::string& service) { return {address, {{service, 1}}, 0, 0}; }

/// A state with one route, from `kPublicAddress` to `kService`.
inline PublishedState MakeState(std::uint64_t index = 1) {
  PublishedState state;
  state.m_index = index;
  state.m_routing.m_version = index;
  state.m_routing.m_routes[kPublicAddress] = MakeRoute(kPublicAddress, kService);
  state.m_routing.m_services[kService] = {kService, 0};
  return state;
}

inline CookiePacket OpeningPacket(std::uint32_t client, std::uint32_t retransmissions = 0) {
  CookiePacket packet;
  packet.m_endpoints = {{IpAddress::FromV4(0x64400000 + client), 40000}, kPublicAddress};
  packet.m_opening = true;
  packet.m_retransmissions = retransmissions;
  packet.m_age = retransmissions == 0 ? milliseconds(0) : milliseconds(retransmissions == 1 ? 200 : 600);
  return packet;
}

inline CookiePacket LaterPacket(std::uint32_t client, std::uint32_t cookie, bool closing = false) {
  CookiePacket packet = OpeningPacket(client);
  packet.m_opening = false;
  packet.m_closing = closing;
  packet.m_cookie = cookie;
  return packet;
}

/// The steering of one balancer in virtual time.
class Balancer {
 public:
  explicit Balancer(std::uint32_t host = 1, std::unique_ptr<ChoiceStrategy> choice = MakeExpectedTimeChoice())
      : m_steering(MakeOptions(host), std::move(choice), Random(host)) {}

  void ApplyState(const PublishedState& state) { (void)m_steering.Update(m_now, MakeUpdate(PublishedState{}, state)); }
  void AddTarget(const AnnouncedTarget& record) { (void)m_steering.Merge(m_now, {record, 0}); }
  void Advance(milliseconds span) { m_now += span; }
  SteeringDecision Steer(const CookiePacket& packet) { return m_steering.Steer(m_now, packet); }
  /// Opens a flow whose target answers at once.
  SteeringDecision Open(std::uint32_t client) {
    const SteeringDecision decision = Steer(OpeningPacket(client));
    (void)Steer(LaterPacket(client, decision.m_cookie));
    return decision;
  }

  [[nodiscard]] TimePoint Now() const { return m_now; }
  [[nodiscard]] CookieSteering& Steering() { return m_steering; }

 private:
  static SteeringOptions MakeOptions(std::uint32_t host) {
    SteeringOptions options;
    options.m_self = HostId{host};
    options.m_data_centre = "a";
    options.m_rate_shares = true;
    return options;
  }

  TimePoint m_now = TimePoint(std::chrono::seconds(100));
  CookieSteering m_steering;
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_STEERING_FIXTURE_H_
