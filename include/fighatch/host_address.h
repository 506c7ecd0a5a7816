#ifndef FIGHATCH_HOST_ADDRESS_H_
#define FIGHATCH_HOST_ADDRESS_H_

#include "fighatch/address.h"
#include "fighatch/ids.h"

namespace fighatch {

/// The id of a host in deployments where hosts discover each other: its IPv4 address as a number. No ids need to be
/// assigned, and the address of a host follows from its id.
[[nodiscard]] inline HostId HostIdOf(const IpAddress& address) noexcept { return HostId{address.ToV4()}; }

/// The endpoint at a port of a host whose id was made by `HostIdOf`.
[[nodiscard]] inline Endpoint EndpointOf(HostId host, std::uint16_t port) noexcept {
  return {IpAddress::FromV4(host.m_value), port};
}

}  // namespace fighatch

#endif  // FIGHATCH_HOST_ADDRESS_H_
