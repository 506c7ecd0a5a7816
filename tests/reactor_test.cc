#include "io/reactor.h"

#include <gtest/gtest.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

namespace fighatch::io {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Guards against a fiber being inserted into the ready queue twice: its deadline passes, and its descriptor becomes
// readable before the fiber runs. That corrupted the queue and crashed a loaded control host with a segmentation fault.
TEST(ReactorTest, DeadlineAndEventAtTheSameTime) {
  constexpr int kFibers = 100;
  constexpr milliseconds kDuration{1500};
  Reactor reactor;
  bool done = false;
  std::uint64_t events = 0;
  std::uint64_t timeouts = 0;
  std::vector<int> fds;
  std::vector<boost::fibers::fiber> fibers;
  for (int index = 0; index < kFibers; ++index) {
    const int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    ASSERT_GE(fd, 0);
    fds.push_back(fd);
    fibers.emplace_back([&, fd] {
      while (!done) {
        if (Reactor::WaitReadable(fd, steady_clock::now() + microseconds(200))) {
          std::uint64_t count = 0;
          if (read(fd, &count, sizeof(count)) == sizeof(count)) ++events;
        } else {
          ++timeouts;
        }
      }
    });
  }
  // A fiber that is always ready, so that descriptors are polled between fiber switches and not only when all fibers
  // wait.
  fibers.emplace_back([&] {
    const auto end = steady_clock::now() + kDuration;
    for (std::uint64_t round = 0; steady_clock::now() < end; ++round) {
      const std::uint64_t one = 1;
      if (round % 3 == 0) {
        EXPECT_EQ(write(fds[round / 3 % kFibers], &one, sizeof(one)), sizeof(one));
      }
      boost::this_fiber::yield();
    }
    done = true;
  });
  for (boost::fibers::fiber& fiber : fibers) fiber.join();
  for (const int fd : fds) close(fd);
  EXPECT_GT(events, 0U);
  EXPECT_GT(timeouts, 0U);
}

}  // namespace
}  // namespace fighatch::io
