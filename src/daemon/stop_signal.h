#ifndef FIGHATCH_DAEMON_STOP_SIGNAL_H_
#define FIGHATCH_DAEMON_STOP_SIGNAL_H_

#include "io/file_descriptor.h"
#include "io/reactor.h"

namespace fighatch::daemon {

/// Turns SIGTERM and SIGINT into a planned stop. Construct it before any thread is started, so that all threads inherit
/// the blocked signals.
class StopSignal {
 public:
  StopSignal();

  /// Suspends the fiber until a signal arrives or the deadline passes; true if the process must stop.
  [[nodiscard]] bool Wait(io::Deadline deadline);

  /// True once a signal has arrived.
  [[nodiscard]] bool IsSet() const noexcept { return m_set; }

 private:
  io::FileDescriptor m_fd;
  bool m_set = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_STOP_SIGNAL_H_
