#include "io/socket_address.h"

#include <arpa/inet.h>

#include <cstring>

namespace fighatch::io {

SocketAddress ToSocketAddress(const Endpoint& endpoint) noexcept {
  SocketAddress address;
  if (endpoint.m_address.IsV4()) {
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.m_port);
    v4.sin_addr.s_addr = htonl(endpoint.m_address.ToV4());
    std::memcpy(&address.m_storage, &v4, sizeof(v4));
    address.m_size = sizeof(v4);
    return address;
  }
  sockaddr_in6 v6{};
  v6.sin6_family = AF_INET6;
  v6.sin6_port = htons(endpoint.m_port);
  std::memcpy(&v6.sin6_addr, endpoint.m_address.m_bytes.data(), sizeof(v6.sin6_addr));
  std::memcpy(&address.m_storage, &v6, sizeof(v6));
  address.m_size = sizeof(v6);
  return address;
}

Endpoint FromSocketAddress(const SocketAddress& address) noexcept {
  Endpoint endpoint;
  if (address.m_storage.ss_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &address.m_storage, sizeof(v4));
    endpoint.m_address = IpAddress::FromV4(ntohl(v4.sin_addr.s_addr));
    endpoint.m_port = ntohs(v4.sin_port);
    return endpoint;
  }
  sockaddr_in6 v6{};
  std::memcpy(&v6, &address.m_storage, sizeof(v6));
  std::memcpy(endpoint.m_address.m_bytes.data(), &v6.sin6_addr, sizeof(v6.sin6_addr));
  endpoint.m_port = ntohs(v6.sin6_port);
  return endpoint;
}

}  // namespace fighatch::io
