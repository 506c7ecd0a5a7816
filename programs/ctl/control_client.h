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

/// Whether a ticket is accepted and on which hosts it is in force, merged from the responses of all control hosts.
struct TicketStatus {
  bool m_accepted = false;
  std::string m_digest;
  std::uint64_t m_generation = 0;
  /// Ids of the hosts on which the ticket is, or is not yet, in force.
  std::vector<std::uint32_t> m_in_force;
  std::vector<std::uint32_t> m_not_in_force;
  /// Control hosts that did not respond.
  std::vector<Endpoint> m_unreachable_hosts;
};

/// HTTP client of the control hosts for one command. Until the deadline of the command it follows the leader that a
/// response names, tries the control hosts in turn, and resends requests that got no response.
class ControlClient {
 public:
  ControlClient(std::vector<Endpoint> control_hosts, io::Deadline deadline)
      : m_control_hosts(std::move(control_hosts)), m_deadline(deadline) {}

  /// Posts a signed ticket until a control host gives a final response. A resend is safe: the response to an accepted
  /// ticket stays the same. Errors: `kIoTimeout` if no final answer came before the deadline.
  [[nodiscard]] Result<nlohmann::json> SubmitTicket(const std::string& text, const std::string& signature);

  /// Gets a JSON document from the first control host that responds. Errors: `kIoTimeout`.
  [[nodiscard]] Result<nlohmann::json> Get(const std::string& path);

  /// Gets the newest accepted state from the leader, which confirms that no later one exists. Errors: `kIoTimeout`.
  [[nodiscard]] Result<nlohmann::json> GetConfirmedState();

  /// Gets what control hosts retain of a ticket, from one that has accepted it or that confirms that none has. Errors:
  /// `kIoTimeout`.
  [[nodiscard]] Result<nlohmann::json> GetConfirmedTicket(TicketNumber number);

  /// Gets a JSON document from every control host; those that do not respond are left out.
  [[nodiscard]] std::vector<nlohmann::json> GetFromAll(const std::string& path) const;

  /// Asks every control host where the ticket is in force.
  [[nodiscard]] TicketStatus QueryTicket(TicketNumber number);

  [[nodiscard]] bool IsPastDeadline() const { return std::chrono::steady_clock::now() >= m_deadline; }

 private:
  // Sends one request to one control host. Errors: those of `HttpExchange`; `kMessageMalformed` if the body is no JSON
  // object.
  [[nodiscard]] Result<nlohmann::json> Exchange(const Endpoint& host, const HttpRequest& request) const;
  // Sends the request to the control hosts in turn until `is_final` accepts a response. Errors: `kIoTimeout`.
  [[nodiscard]] Result<nlohmann::json> ExchangeUntilFinal(const HttpRequest& request,
                                                          const std::function<bool(const nlohmann::json&)>& is_final);

  std::vector<Endpoint> m_control_hosts;
  io::Deadline m_deadline;
  std::size_t m_next_host = 0;
};

}  // namespace fighatch::ctl

#endif  // FIGHATCH_PROGRAMS_CTL_CONTROL_CLIENT_H_
