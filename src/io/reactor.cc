#include "io/reactor.h"

#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cerrno>
#include <cstdint>

#include "io/boot_time.h"

namespace fighatch::io {
namespace {

// Fiber switches after which descriptors are polled again, so that busy fibers do not starve those that wait for I/O.
constexpr int kSwitchesBetweenPolls = 32;
constexpr std::size_t kEventsPerPoll = 64;
// Longest sleep in epoll_wait, also if no fiber has a deadline.
constexpr std::chrono::milliseconds kLongestPoll{1000};

// A suspended fiber that waits for a descriptor; lives on the stack of that fiber.
struct Waiter {
  boost::fibers::context* m_context = nullptr;
  bool m_ready = false;
  // When the latest poll began that did not report the descriptor.
  TimePoint m_not_ready_at;
};

// The epoll instance of one thread.
class Poller {
 public:
  Poller() : m_epoll_fd(epoll_create1(EPOLL_CLOEXEC)), m_wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    PCHECK(m_epoll_fd >= 0);
    PCHECK(m_wake_fd >= 0);
    epoll_event event{};
    event.events = EPOLLIN;
    PCHECK(epoll_ctl(m_epoll_fd, EPOLL_CTL_ADD, m_wake_fd, &event) == 0);
  }

  ~Poller() {
    close(m_wake_fd);
    close(m_epoll_fd);
  }

  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Suspends the calling fiber until one of the events occurs or the deadline passes; false at the deadline. Raises
  // `not_ready_at` to the latest time at which none of them is known to have occurred.
  bool Wait(int fd, std::uint32_t events, Deadline deadline, TimePoint* not_ready_at) {
    Waiter waiter;
    waiter.m_context = boost::fibers::context::active();
    epoll_event event{};
    event.events = events | EPOLLONESHOT;
    event.data.ptr = &waiter;
    if (epoll_ctl(m_epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0) {
      PCHECK(errno == EEXIST) << "epoll_ctl fd=" << fd;
      // Another fiber waits for the same descriptor, which epoll registers only once. A duplicate of it can be
      // registered in addition.
      const int duplicate = dup(fd);
      PCHECK(duplicate >= 0);
      const bool ready = Wait(duplicate, events, deadline, not_ready_at);
      close(duplicate);
      return ready;
    }
    if (deadline == kNoDeadline) {
      while (!waiter.m_ready) boost::fibers::context::active()->suspend();
    } else {
      while (!waiter.m_ready && std::chrono::steady_clock::now() < deadline) {
        boost::fibers::context::active()->wait_until(deadline);
      }
    }
    epoll_ctl(m_epoll_fd, EPOLL_CTL_DEL, fd, nullptr);
    if (waiter.m_ready) *not_ready_at = std::max(*not_ready_at, waiter.m_not_ready_at);
    return waiter.m_ready;
  }

  // Schedules the fibers whose descriptors are ready; waits up to the timeout for the first one.
  void Poll(int timeout_ms) {
    std::array<epoll_event, kEventsPerPoll> events;
    const TimePoint started = BootTime();
    const int count = epoll_wait(m_epoll_fd, events.data(), events.size(), timeout_ms);
    for (int index = 0; index < count; ++index) {
      if (events[index].data.ptr == nullptr) {
        std::uint64_t wakes = 0;
        [[maybe_unused]] const ssize_t bytes = read(m_wake_fd, &wakes, sizeof(wakes));
        continue;
      }
      auto* waiter = static_cast<Waiter*>(events[index].data.ptr);
      waiter->m_ready = true;
      waiter->m_not_ready_at = m_complete_poll_started;
      // A fiber whose deadline has just passed is already in the ready queue; a second insertion would corrupt the
      // queue.
      if (waiter->m_context->ready_is_linked()) continue;
      boost::fibers::context::active()->schedule(waiter->m_context);
    }
    // A poll that failed, or that had room for no more events, says nothing about the descriptors that it left out.
    if (count >= 0 && count < static_cast<int>(kEventsPerPoll)) m_complete_poll_started = started;
  }

  // Ends a `Poll` that waits; may be called from other threads.
  void Wake() noexcept {
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t bytes = write(m_wake_fd, &one, sizeof(one));
  }

 private:
  int m_epoll_fd;
  int m_wake_fd;
  // When the latest poll began that reported all descriptors that were ready.
  TimePoint m_complete_poll_started;
};

thread_local Poller* g_poller = nullptr;

// A round-robin scheduler that polls descriptors when no fiber is ready. If there always is a ready fiber, it resumes a
// dedicated fiber every `kSwitchesBetweenPolls` switches, which polls without waiting.
class ReactorScheduler : public boost::fibers::algo::round_robin {
 public:
  explicit ReactorScheduler(Poller* poller, boost::fibers::context** suspended_poll_fiber)
      : m_poller(poller), m_suspended_poll_fiber(suspended_poll_fiber) {}

  boost::fibers::context* pick_next() noexcept override {
    if (++m_switches >= kSwitchesBetweenPolls && *m_suspended_poll_fiber != nullptr) {
      m_switches = 0;
      boost::fibers::context* fiber = *m_suspended_poll_fiber;
      *m_suspended_poll_fiber = nullptr;
      awakened(fiber);
    }
    return round_robin::pick_next();
  }

  void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override {
    m_switches = 0;
    const auto now = std::chrono::steady_clock::now();
    auto wait = kLongestPoll;
    if (until != std::chrono::steady_clock::time_point::max()) {
      // Rounded up, since a timeout rounded down to 0 ms would spin until the deadline.
      wait = std::clamp(std::chrono::ceil<std::chrono::milliseconds>(until - now), std::chrono::milliseconds(0),
                        kLongestPoll);
    }
    m_poller->Poll(static_cast<int>(wait.count()));
  }

  void notify() noexcept override { m_poller->Wake(); }

 private:
  Poller* m_poller;
  boost::fibers::context** m_suspended_poll_fiber;
  int m_switches = 0;
};

}  // namespace

class Reactor::Impl {
 public:
  Impl() {
    CHECK(g_poller == nullptr) << "this thread already has a reactor";
    g_poller = &m_poller;
    boost::fibers::use_scheduling_algorithm<ReactorScheduler>(&m_poller, &m_suspended_poll_fiber);
    m_poll_fiber = boost::fibers::fiber([this] { PollWhenBusy(); });
    boost::this_fiber::yield();
  }

  ~Impl() {
    m_stop = true;
    if (boost::fibers::context* fiber = m_suspended_poll_fiber; fiber != nullptr) {
      m_suspended_poll_fiber = nullptr;
      boost::fibers::context::active()->schedule(fiber);
    }
    m_poll_fiber.join();
    boost::fibers::use_scheduling_algorithm<boost::fibers::algo::round_robin>();
    g_poller = nullptr;
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

 private:
  // Body of the poll fiber: polls without waiting each time that the scheduler resumes it.
  void PollWhenBusy() {
    while (!m_stop) {
      m_suspended_poll_fiber = boost::fibers::context::active();
      boost::fibers::context::active()->suspend();
      if (!m_stop) m_poller.Poll(0);
    }
  }

  Poller m_poller;
  // The poll fiber while it is suspended; null once it has been made ready.
  boost::fibers::context* m_suspended_poll_fiber = nullptr;
  boost::fibers::fiber m_poll_fiber;
  bool m_stop = false;
};

Reactor::Reactor() : m_impl(std::make_unique<Impl>()) {}
Reactor::~Reactor() = default;

bool Reactor::WaitReadable(int fd, Deadline deadline, TimePoint* not_readable_at) {
  TimePoint not_ready_at;
  return g_poller->Wait(fd, EPOLLIN | EPOLLRDHUP, deadline,
                        not_readable_at != nullptr ? not_readable_at : &not_ready_at);
}

bool Reactor::WaitWritable(int fd, Deadline deadline) {
  TimePoint not_ready_at;
  return g_poller->Wait(fd, EPOLLOUT, deadline, &not_ready_at);
}

}  // namespace fighatch::io
