#ifndef FIGHATCH_MEMBER_H_
#define FIGHATCH_MEMBER_H_

#include <cstdint>
#include <string_view>

#include "fighatch/address.h"
#include "fighatch/ids.h"

namespace fighatch {

/// Whether a daemon is a balancer or a control host.
enum class MemberRole : std::uint8_t { kBalancer = 0, kControl = 1 };

/// The state of a member as its observer sees it; `kLeft` follows a planned leave, `kDead` a failure.
enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };

/// "balancer" or "control".
[[nodiscard]] std::string_view MemberRoleName(MemberRole role) noexcept;
/// "alive", "suspect", "dead" or "left".
[[nodiscard]] std::string_view MemberStateName(MemberState state) noexcept;

/// A daemon of the system as the other daemons know it. Members are exchanged by the membership protocol.
struct Member {
  HostId m_host;
  DataCentreId m_data_centre;
  MemberRole m_role = MemberRole::kBalancer;
  MemberState m_state = MemberState::kAlive;
  /// Start count of the process; a higher one replaces everything known of lower ones.
  Incarnation m_incarnation;
  /// UDP and TCP endpoint for messages between our processes.
  Endpoint m_control_endpoint;
  /// UDP endpoint that takes GUE packets; unset for control hosts.
  Endpoint m_data_endpoint;
  /// True once the balancer may be a keeper of flows: it has taken over the flow records that it is responsible for.
  bool m_keeper_ready = false;

  friend bool operator==(const Member&, const Member&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_host, m_data_centre, m_role, m_state, m_incarnation, m_control_endpoint, m_data_endpoint, m_keeper_ready);
  }
};

}  // namespace fighatch

#endif  // FIGHATCH_MEMBER_H_
