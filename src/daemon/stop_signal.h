#ifndef FIGHATCH_DAEMON_STOP_SIGNAL_H_
#define FIGHATCH_DAEMON_STOP_SIGNAL_H_

#include <cstdint>
#include <utility>

#include "io/file_descriptor.h"
#include "io/reactor.h"

namespace fighatch::daemon {

/// Whether SIGHUP asks for a reload of the settings or, as is usual, ends the process.
enum class SighupAction : std::uint8_t { kDefault = 0, kReload = 1 };

/// Turns SIGTERM and SIGINT into a planned stop. Construct it before any thread is started, so that all threads inherit
/// the blocked signals.
class StopSignal {
 public:
  explicit StopSignal(SighupAction sighup_action = SighupAction::kDefault);

  /// Suspends the fiber until a signal arrives or the deadline passes; true if the process must stop.
  [[nodiscard]] bool Wait(io::Deadline deadline);

  /// True once after each SIGHUP that `Wait` has received.
  [[nodiscard]] bool TakeReloadRequest() noexcept { return std::exchange(m_reload_requested, false); }

  /// True once a signal has arrived.
  [[nodiscard]] bool IsSet() const noexcept { return m_stop_requested; }

 private:
  io::FileDescriptor m_fd;
  bool m_stop_requested = false;
  bool m_reload_requested = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_STOP_SIGNAL_H_
