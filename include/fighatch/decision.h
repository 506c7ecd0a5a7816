#ifndef FIGHATCH_DECISION_H_
#define FIGHATCH_DECISION_H_

#include <cstdint>

#include "fighatch/address.h"
#include "fighatch/error.h"
#include "fighatch/gue.h"
#include "fighatch/ids.h"

namespace fighatch {

/// What a balancer does with a packet.
enum class DecisionKind : std::uint8_t {
  kDrop = 0,
  /// Send to `m_endpoint`, the target's GUE endpoint, with a plain header.
  kTarget = 1,
  /// Send to `m_endpoint`, another balancer, with `m_reason` and a hop count raised by one.
  kBalancer = 2,
  /// Answer the caller with a TCP reset (`BuildTcpReset`) sent through the fabric.
  kReset = 3,
  /// Hand the datagram to the request engine.
  kRequest = 4,
};

/// The result of `FlowDecider::Decide` for one packet: the action, its destination and why a packet is dropped.
struct Decision {
  DecisionKind m_kind = DecisionKind::kDrop;
  /// Set for `kBalancer`.
  ForwardReason m_reason = ForwardReason::kNone;
  /// Why the packet is dropped; `kOk` otherwise.
  ErrorCode m_code = ErrorCode::kOk;
  /// 0 if no service has the destination address.
  ServiceId m_service;
  /// Set for `kTarget` and `kReset`.
  TargetId m_target;
  /// Set for `kBalancer`.
  HostId m_balancer;
  /// GUE endpoint of the target or balancer.
  Endpoint m_endpoint;
};

}  // namespace fighatch

#endif  // FIGHATCH_DECISION_H_
