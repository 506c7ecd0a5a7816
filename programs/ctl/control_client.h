#ifndef FIGHATCH_PROGRAMS_CTL_CONTROL_CLIENT_H_
#define FIGHATCH_PROGRAMS_CTL_CONTROL_CLIENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "daemon/operator_key.h"
#include "fighatch/address.h"
#include "fighatch/http_message.h"
#include "fighatch/ids.h"
#include "fighatch/result.h"
#include "io/reactor.h"

namespace fighatch::ctl {

/// Where a ticket is in force, put together from the answers of all control hosts.
struct TicketStatus {
  bool m_accepted = false;
  std::string m_digest;
  std::uint64_t m_generation = 0;
  std::vector<std::uint32_t> m_in_force;
  std::vector<std::uint32_t> m_not_in_force;
  /// Control hosts that did not respond.
  std::vector<Endpoint> m_unreachable_hosts;
};

/// Talks to the control hosts: tries all of them and resends after lost answers until the deadline.
class ControlClient {
 public:
  ControlClient(std::vector<Endpoint> control_hosts, io::Deadline deadline)
      : m_control_hosts(std::move(control_hosts)), m_deadline(deadline) {}

  /// Posts a signed ticket until a control host gives a final response. A resend is safe: the response to an accepted
  /// ticket stays the same. Errors: `kIoTimeout` if no final answer came before the deadline.
  [[nodiscard]] Result<nlohmann::json> SubmitTicket(const std::string& text, const std::string& signature);

  /// Gets a JSON document from the first control host that answers. Errors: `kIoTimeout`.
  [[nodiscard]] Result<nlohmann::json> Get(const std::string& path);

  /// Gets a JSON document from every control host; those that do not answer are left out.
  [[nodiscard]] std::vector<nlohmann::json> GetFromAll(const std::string& path) const;

  /// Asks every control host where the ticket is in force.
  [[nodiscard]] TicketStatus QueryTicket(TicketNumber number);

  [[nodiscard]] bool IsPastDeadline() const { return std::chrono::steady_clock::now() >= m_deadline; }

 private:
  [[nodiscard]] Result<nlohmann::json> Exchange(const Endpoint& host, const HttpRequest& request) const;
  // Repeats over the control hosts until `is_final` accepts a response.
  [[nodiscard]] Result<nlohmann::json> ExchangeUntilFinal(const HttpRequest& request,
                                                          const std::function<bool(const nlohmann::json&)>& is_final);

  std::vector<Endpoint> m_control_hosts;
  io::Deadline m_deadline;
  std::size_t m_next_host = 0;
};

}  // namespace fighatch::ctl

#endif  // FIGHATCH_PROGRAMS_CTL_CONTROL_CLIENT_H_
