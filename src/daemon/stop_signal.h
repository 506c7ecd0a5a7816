#ifndef FIGHATCH_DAEMON_STOP_SIGNAL_H_
#define FIGHATCH_DAEMON_STOP_SIGNAL_H_

#include <cstdint>
#include <utility>

#include "io/file_descriptor.h"
#include "io/reactor.h"

namespace fighatch::daemon {

/// What SIGHUP does: end the process, which is the system's default, or request a reload of the settings.
enum class SighupAction : std::uint8_t { kDefault = 0, kReload = 1 };

/// Receives SIGTERM and SIGINT as requests for a planned stop, and with `SighupAction::kReload` SIGHUP as a request for
/// a reload. SIGPIPE is ignored. Construct it before any thread is started, so that all threads inherit the blocked
/// signals.
class StopSignal {
 public:
  explicit StopSignal(SighupAction sighup_action = SighupAction::kDefault);

  /// Suspends the fiber until a signal arrives or the deadline passes; true if a stop has been requested.
  [[nodiscard]] bool Wait(io::Deadline deadline);

  /// True once after each SIGHUP that `Wait` has received; the call clears the request.
  [[nodiscard]] bool TakeReloadRequest() noexcept { return std::exchange(m_reload_requested, false); }

  /// True after `Wait` has received a request for a stop.
  [[nodiscard]] bool IsSet() const noexcept { return m_stop_requested; }

 private:
  io::FileDescriptor m_fd;
  bool m_stop_requested = false;
  bool m_reload_requested = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_STOP_SIGNAL_H_
