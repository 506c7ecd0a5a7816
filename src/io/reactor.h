#ifndef FIGHATCH_IO_REACTOR_H_
#define FIGHATCH_IO_REACTOR_H_

#include <chrono>
#include <memory>

#include "fighatch/time.h"

namespace fighatch::io {

/// A point in time on the monotonic clock, which fibers also use to sleep.
using Deadline = std::chrono::steady_clock::time_point;

/// A deadline that never passes.
inline constexpr Deadline kNoDeadline = Deadline::max();

/// Lets the fibers of one thread wait for file descriptors, by an epoll instance that the thread's fiber scheduler
/// polls. Construct one in each thread that runs fibers with I/O, before the thread's first fiber, and keep it alive
/// until the last one has ended. A failure to set up epoll or to register a descriptor ends the process.
///
/// \code
/// Reactor reactor;
/// boost::fibers::fiber([&] { if (Reactor::WaitReadable(fd, kNoDeadline)) Read(fd); }).join();
/// \endcode
class Reactor {
 public:
  Reactor();
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  /// Suspends the calling fiber until `fd` is readable (or in error) or the deadline passes; false at the deadline.
  /// `not_readable_at`, if given, is raised to the latest time (of `BootTime`) at which `fd` is known not to have been
  /// readable yet. That time can lie far back after the process stood still.
  [[nodiscard]] static bool WaitReadable(int fd, Deadline deadline, TimePoint* not_readable_at = nullptr);

  /// Suspends the calling fiber until `fd` is writable (or in error) or the deadline passes; false at the deadline.
  [[nodiscard]] static bool WaitWritable(int fd, Deadline deadline);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_REACTOR_H_
