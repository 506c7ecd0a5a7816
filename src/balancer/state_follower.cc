#include "balancer/state_follower.h"

#include <glog/logging.h>
#include <sodium.h>

#include <boost/fiber/operations.hpp>
#include <utility>

#include "io/http_client.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longer than a control host holds a long poll open.
constexpr milliseconds kPollTimeout{2500};
constexpr milliseconds kRetryDelay{100};

std::uint64_t RandomNonce() {
  std::uint64_t nonce = 0;
  randombytes_buf(&nonce, sizeof(nonce));
  return nonce;
}

}  // namespace

StateFollower::StateFollower(HostId host, std::vector<Endpoint> control_hosts, HttpAuthenticator authenticator,
                             StateDocument state, OnChange on_change)
    : m_host(host),
      m_control_hosts(std::move(control_hosts)),
      m_authenticator(std::move(authenticator)),
      m_state(std::move(state)),
      m_on_change(std::move(on_change)) {}

void StateFollower::Run() {
  // Balancers start with different control hosts, so that the load of polls is spread.
  std::size_t index = m_host.m_value;
  while (!m_stopping && !m_control_hosts.empty()) {
    if (Poll(m_control_hosts[index % m_control_hosts.size()])) continue;
    ++index;
    boost::this_fiber::sleep_for(kRetryDelay);
  }
}

bool StateFollower::Poll(const Endpoint& control_host) {
  const Version from = m_request_snapshot ? Version{} : m_state.m_version;
  HttpRequest request;
  request.m_path = "/v1/delta?epoch=" + std::to_string(from.m_epoch) +
                   "&generation=" + std::to_string(from.m_generation) + "&host=" + std::to_string(m_host.m_value) +
                   "&nonce=" + std::to_string(RandomNonce());
  const Result<std::string> signature = m_authenticator.Sign(request.m_path);
  if (!IsOk(signature)) return false;
  SetHeader(&request.m_headers, kHttpSignatureHeader, ValueOf(signature));
  const auto response = io::HttpExchange(control_host, request, steady_clock::now() + kPollTimeout);
  if (!IsOk(response) || ValueOf(response).m_status != 200) {
    LOG_EVERY_N(WARNING, 50) << "event=state_poll_failed control_host=" << ToString(control_host) << " "
                             << (IsOk(response) ? "status=" + std::to_string(ValueOf(response).m_status)
                                                : ToString(ErrorOf(response)));
    return false;
  }
  const std::string_view response_signature =
      FindHeader(ValueOf(response).m_headers, kHttpSignatureHeader).value_or("");
  const Status verified = m_authenticator.Verify(
      HttpAuthenticator::SignedResponseText(request.m_path, ValueOf(response).m_body), response_signature);
  if (!IsOk(verified)) {
    LOG_EVERY_N(WARNING, 50) << "event=delta_refused control_host=" << ToString(control_host) << " "
                             << ToString(ErrorOf(verified));
    return false;
  }
  m_last_response = steady_clock::now();
  if (!ValueOf(response).m_body.empty()) Apply(ValueOf(response).m_body);
  return true;
}

void StateFollower::Apply(const std::string& body) {
  m_received_bytes += body.size();
  const Result<StateDelta> delta = DecodeDelta(std::as_bytes(std::span(body)));
  if (!IsOk(delta)) {
    LOG(WARNING) << "event=delta_refused " << ToString(ErrorOf(delta));
    return;
  }
  const Version before = m_state.m_version;
  const Status applied = ApplyDelta(ValueOf(delta), &m_state);
  m_request_snapshot = !IsOk(applied);
  if (!IsOk(applied)) {
    LOG(WARNING) << "event=delta_refused " << ToString(ErrorOf(applied));
    return;
  }
  if (m_state.m_version <= before) return;
  LOG(INFO) << "event=state_applied epoch=" << m_state.m_version.m_epoch
            << " generation=" << m_state.m_version.m_generation << " snapshot=" << ValueOf(delta).m_snapshot.has_value()
            << " bytes=" << body.size();
  m_on_change(m_state);
}

}  // namespace fighatch::daemon
