#include "fighatch/replay_window.h"

namespace fighatch {
namespace {

// Position of a sequence number in the ring of bits.
constexpr std::uint64_t BitMask(std::uint64_t sequence) noexcept { return std::uint64_t{1} << (sequence % 64); }
constexpr std::size_t WordIndex(std::uint64_t sequence) noexcept {
  return static_cast<std::size_t>(sequence % ReplayWindow::kWindowSize / 64);
}

}  // namespace

bool ReplayWindow::Window::Test(std::uint64_t sequence) const noexcept {
  return (m_seen[WordIndex(sequence)] & BitMask(sequence)) != 0;
}

void ReplayWindow::Window::Set(std::uint64_t sequence) noexcept { m_seen[WordIndex(sequence)] |= BitMask(sequence); }

void ReplayWindow::Window::Clear(std::uint64_t sequence) noexcept { m_seen[WordIndex(sequence)] &= ~BitMask(sequence); }

void ReplayWindow::Window::AdvanceTo(std::uint64_t sequence) noexcept {
  if (sequence - m_highest >= kWindowSize) {
    m_seen.fill(0);
  } else {
    for (std::uint64_t passed = m_highest + 1; passed <= sequence; ++passed) Clear(passed);
  }
  m_highest = sequence;
}

ReplayWindow::Window& ReplayWindow::Insert(HostId sender, Incarnation incarnation) {
  if (m_windows.size() >= m_max_senders && !m_lru_order.empty()) {
    m_windows.erase(m_lru_order.front());
    m_lru_order.pop_front();
    ++m_evictions;
  }
  Window& window = m_windows[sender];
  window.m_incarnation = incarnation;
  window.m_lru_position = m_lru_order.insert(m_lru_order.end(), sender);
  return window;
}

Status ReplayWindow::Accept(HostId sender, Incarnation incarnation, std::uint64_t sequence) {
  const auto found = m_windows.find(sender);
  Window& window = found != m_windows.end() ? found->second : Insert(sender, incarnation);
  if (incarnation < window.m_incarnation)
    return MakeError(ErrorCode::kMessageReplayed, "older incarnation of the sender");
  if (incarnation > window.m_incarnation) {
    window.m_incarnation = incarnation;
    window.m_highest = 0;
    window.m_seen.fill(0);
  }
  if (sequence + kWindowSize <= window.m_highest)
    return MakeError(ErrorCode::kMessageReplayed, "sequence number is below the replay window");
  if (sequence > window.m_highest) {
    window.AdvanceTo(sequence);
  } else if (window.Test(sequence)) {
    return MakeError(ErrorCode::kMessageReplayed, "sequence number was received before");
  }
  window.Set(sequence);
  m_lru_order.splice(m_lru_order.end(), m_lru_order, window.m_lru_position);
  return OkStatus();
}

Incarnation ReplayWindow::HighestIncarnation(HostId sender) const noexcept {
  const auto found = m_windows.find(sender);
  return found != m_windows.end() ? found->second.m_incarnation : Incarnation{};
}

}  // namespace fighatch
