#include "daemon/stop_signal.h"

#include <glog/logging.h>
#include <sys/signalfd.h>

#include <csignal>

namespace fighatch::daemon {

StopSignal::StopSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  PCHECK(sigprocmask(SIG_BLOCK, &signals, nullptr) == 0);
  std::signal(SIGPIPE, SIG_IGN);
  m_fd = io::FileDescriptor(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
  PCHECK(m_fd.IsOpen());
}

bool StopSignal::Wait(io::Deadline deadline) {
  if (m_set) return true;
  if (!io::Reactor::WaitReadable(m_fd.Get(), deadline)) return false;
  signalfd_siginfo info{};
  m_set = read(m_fd.Get(), &info, sizeof(info)) == sizeof(info);
  return m_set;
}

}  // namespace fighatch::daemon
