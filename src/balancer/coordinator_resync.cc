#include "balancer/coordinator_resync.h"

#include <chrono>

namespace fighatch::daemon {
namespace {

// A new coordinator publishes its first tables 1.1 s after its start. Three sends within that time tolerate the loss of
// two.
constexpr int kResyncSends = 3;
constexpr std::chrono::milliseconds kSendInterval{250};

}  // namespace

void CoordinatorResync::SetCoordinator(HostId host, Incarnation incarnation, TimePoint now) {
  if (host == m_host && incarnation == m_incarnation) return;
  m_host = host;
  m_incarnation = incarnation;
  m_sends_left = kResyncSends;
  m_next = now;
}

bool CoordinatorResync::TakeDue(TimePoint now) {
  if (m_sends_left == 0 || now < m_next) return false;
  --m_sends_left;
  m_next = now + kSendInterval;
  return true;
}

}  // namespace fighatch::daemon
