#include "daemon/stop_signal.h"

#include <glog/logging.h>
#include <sys/signalfd.h>

#include <csignal>

namespace fighatch::daemon {

StopSignal::StopSignal(SighupAction sighup_action) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  if (sighup_action == SighupAction::kReload) sigaddset(&signals, SIGHUP);
  PCHECK(sigprocmask(SIG_BLOCK, &signals, nullptr) == 0);
  std::signal(SIGPIPE, SIG_IGN);
  m_fd = io::FileDescriptor(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  PCHECK(m_fd.IsOpen());
}

bool StopSignal::Wait(io::Deadline deadline) {
  if (m_stop_requested) return true;
  if (!io::Reactor::WaitReadable(m_fd.Get(), deadline)) return false;
  signalfd_siginfo info{};
  if (read(m_fd.Get(), &info, sizeof(info)) != sizeof(info)) return false;
  m_reload_requested = info.ssi_signo == SIGHUP;
  m_stop_requested = !m_reload_requested;
  return m_stop_requested;
}

}  // namespace fighatch::daemon
