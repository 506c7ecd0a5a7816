#ifndef FIGHATCH_DAEMON_STATE_FOLLOWER_H_
#define FIGHATCH_DAEMON_STATE_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "daemon/http_authenticator.h"
#include "fighatch/address.h"
#include "fighatch/state_delta.h"
#include "fighatch/state_document.h"

namespace fighatch::daemon {

/// Keeps a copy of the replicated state by asking the control hosts for deltas with a long poll. A version never goes
/// down: a control host that is behind is passed over.
class StateFollower {
 public:
  using OnChange = std::function<void(const StateDocument& state)>;

  /// `state` is where the copy starts, for example from a hot file.
  /// Requests are signed with `seal`, and answers that are not signed by a control host are refused.
  StateFollower(HostId host, std::vector<Endpoint> control_hosts, HttpAuthenticator seal, StateDocument state,
                OnChange on_change);

  /// Follows until `Stop`; runs in a fiber of its own.
  void Run();
  /// Makes `Run` return.
  void Stop() noexcept { m_stopping = true; }

  [[nodiscard]] const StateDocument& State() const noexcept { return m_state; }
  /// When a control host was last heard; the epoch of the clock if never.
  [[nodiscard]] std::chrono::steady_clock::time_point LastHeard() const noexcept { return m_last_heard; }
  /// Bytes of deltas and snapshots taken.
  [[nodiscard]] std::uint64_t ReceivedBytes() const noexcept { return m_received_bytes; }

 private:
  /// Asks one control host; false if it did not answer.
  [[nodiscard]] bool Ask(const Endpoint& control_host);
  void Apply(const std::string& body);

  HostId m_host;
  std::vector<Endpoint> m_control_hosts;
  HttpAuthenticator m_seal;
  StateDocument m_state;
  OnChange m_on_change;
  std::chrono::steady_clock::time_point m_last_heard;
  std::uint64_t m_received_bytes = 0;
  bool m_ask_for_snapshot = false;
  bool m_stopping = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_STATE_FOLLOWER_H_
