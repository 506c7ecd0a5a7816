#ifndef FIGHATCH_BALANCER_STATE_FOLLOWER_H_
#define FIGHATCH_BALANCER_STATE_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "daemon/http_authenticator.h"
#include "fighatch/address.h"
#include "fighatch/state_delta.h"
#include "fighatch/state_document.h"

namespace fighatch::daemon {

/// Keeps a copy of the replicated state up to date, for a balancer, by long-polling the control hosts for deltas. The
/// version of the copy never decreases: a delta to an older version is ignored. If a control host does not answer with
/// a valid signature, the next one is polled.
class StateFollower {
 public:
  using OnChange = std::function<void(const StateDocument& state)>;

  /// `state` is the initial copy, for example the last state, which a balancer keeps in a file for a restart. Requests
  /// are signed with `authenticator`, and answers without a valid signature under its key are refused. `on_change` is
  /// called for each newer state.
  StateFollower(HostId host, std::vector<Endpoint> control_hosts, HttpAuthenticator authenticator, StateDocument state,
                OnChange on_change);

  /// Polls until `Stop`. To be run in its own fiber.
  void Run();
  /// Makes `Run` return.
  void Stop() noexcept { m_stopping = true; }

  [[nodiscard]] const StateDocument& State() const noexcept { return m_state; }
  /// When a control host last gave a valid answer; the epoch of the clock if none has.
  [[nodiscard]] std::chrono::steady_clock::time_point LastResponse() const noexcept { return m_last_response; }
  /// Number of bytes of deltas and snapshots received.
  [[nodiscard]] std::uint64_t ReceivedBytes() const noexcept { return m_received_bytes; }

 private:
  /// Polls one control host. False if it did not give a valid answer.
  [[nodiscard]] bool Poll(const Endpoint& control_host);
  /// Applies a delta. If it does not fit the copy, the next poll asks for a snapshot.
  void Apply(const std::string& body);

  HostId m_host;
  std::vector<Endpoint> m_control_hosts;
  HttpAuthenticator m_authenticator;
  StateDocument m_state;
  OnChange m_on_change;
  std::chrono::steady_clock::time_point m_last_response;
  std::uint64_t m_received_bytes = 0;
  bool m_request_snapshot = false;
  bool m_stopping = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_STATE_FOLLOWER_H_
