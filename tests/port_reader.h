#ifndef FIGHATCH_TESTS_PORT_READER_H_
#define FIGHATCH_TESTS_PORT_READER_H_

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "fighatch/random.h"
#include "fighatch/routing_log.h"
#include "steering_fixture.h"

namespace fighatch::testing_support {

/// Parses documents of the form "VERSION PORT..."; all others are malformed.
class PortReader : public DocumentReader {
 public:
  [[nodiscard]] Result<RoutingState> Read(std::string_view text) const override {
    std::istringstream in{std::string(text)};
    RoutingState state;
    if (!(in >> state.m_version)) return MakeError(ErrorCode::kTicketMalformed);
    state.m_services["desk"] = {"desk", 0};
    for (std::uint16_t port = 0; in >> port;) {
      const Endpoint address{IpAddress::FromV4(1), port};
      state.m_routes[address] = MakeRoute(address, "desk");
    }
    return state;
  }
};

inline DocumentCommand MakeDocument(std::uint64_t version, const std::string& ports) {
  return {version, std::to_string(version) + " " + ports};
}

/// A random selection of ten ports.
inline std::string DrawPorts(Random* random) {
  std::string ports;
  for (std::uint64_t port = 80; port < 90; ++port) ports += random->Below(2) == 0 ? std::to_string(port) + " " : "";
  return ports;
}

/// A command to take one of three data centres out of service or back in.
inline DataCentreCommand DrawDataCentreCommand(Random* random) {
  return {"dc" + std::to_string(random->Below(3)), random->Below(2) == 0};
}

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_PORT_READER_H_
