#ifndef FIGHATCH_CONTROL_CONTROL_HTTP_H_
#define FIGHATCH_CONTROL_CONTROL_HTTP_H_

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "config/control_settings.h"
#include "control/control_metrics.h"
#include "control/ticket_backend.h"
#include "daemon/http_authenticator.h"
#include "daemon/operator_key.h"
#include "fighatch/http_message.h"

namespace fighatch::daemon {

/// Serves the HTTP interface of a control host. Operators submit and look up tickets and read state, hosts, health and
/// metrics; balancers fetch deltas of the state by long poll. Tickets must be signed with the operator key, requests
/// for deltas with a cluster key. Error responses carry the numeric `ErrorCode` in the JSON body and in the header
/// `Fighatch-Code`.
class ControlHttp {
 public:
  ControlHttp(const config::ControlSettings& settings, const OperatorKey& operator_key,
              const HttpAuthenticator& authenticator, TicketBackend* backend, ControlMetrics* metrics);

  /// Answers one request; may suspend the calling fiber.
  [[nodiscard]] HttpResponse Handle(const HttpRequest& request);

  /// Ends pending long polls early, so that a planned stop does not wait for their time-out.
  void Stop() noexcept { m_stopping = true; }

 private:
  // The version that a balancer had in force at its last request for deltas, and when that request arrived.
  struct BalancerReport {
    Version m_version_in_force;
    std::chrono::steady_clock::time_point m_received;
  };
  using Parameters = std::map<std::string, std::string>;

  [[nodiscard]] HttpResponse PostTicket(const HttpRequest& request);
  [[nodiscard]] HttpResponse GetTicket(const std::string& number_text);
  // With the parameter confirmed=1 only a leader that can confirm that its state is the newest answers with it.
  [[nodiscard]] HttpResponse GetState(const Parameters& parameters) const;
  // Adds the HTTP endpoint of the leader, if it is known.
  void AddLeader(nlohmann::ordered_json* json) const;
  /// Answers a signed request for deltas, and signs the response. Without a valid signature the response is 401 with
  /// the error of `HttpAuthenticator::Verify`.
  [[nodiscard]] HttpResponse GetSignedDelta(const HttpRequest& request, const std::string& query);
  [[nodiscard]] HttpResponse GetDelta(const Parameters& parameters);
  [[nodiscard]] HttpResponse GetHosts() const;
  [[nodiscard]] HttpResponse GetHealth() const;
  [[nodiscard]] HttpResponse GetMetrics() const;
  void RecordBalancerReport(HostId host, Version version_in_force);
  [[nodiscard]] const config::ControlPeer* FindPeer(HostId host) const;

  const config::ControlSettings& m_settings;
  const OperatorKey& m_operator_key;
  const HttpAuthenticator& m_authenticator;
  TicketBackend* m_backend;
  ControlMetrics* m_metrics;
  std::map<HostId, BalancerReport> m_balancer_reports;
  bool m_stopping = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_CONTROL_HTTP_H_
