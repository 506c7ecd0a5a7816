#ifndef FIGHATCH_REPLAY_WINDOW_H_
#define FIGHATCH_REPLAY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch {

/// An anti-replay window for each sender: records which sequence numbers have arrived, so that none is accepted twice.
///
/// The number of senders is bounded. A new sender beyond the bound evicts the least recently heard one, whose window is
/// lost. The caller must then refuse everything that was sealed earlier (see `SecureChannel`), since a replay of the
/// evicted sender's messages would not be recognised.
class ReplayWindow {
 public:
  /// Width of the window: the highest sequence number of a sender and those below it that are tracked.
  static constexpr std::size_t kWindowSize = 1024;
  /// Above the planned 14,000 daemons, so that eviction hits senders that are gone; about 6 MB when full.
  static constexpr std::size_t kDefaultMaxSenders = 32768;

  explicit ReplayWindow(std::size_t max_senders = kDefaultMaxSenders) : m_max_senders(max_senders) {}

  /// Records the sequence number as seen; a higher incarnation of the sender starts an empty window. Errors:
  /// `kMessageReplayed` if the number was seen, is below the window, or belongs to an older incarnation of the sender.
  [[nodiscard]] Status Accept(HostId sender, Incarnation incarnation, std::uint64_t sequence);

  /// The highest incarnation seen of the sender; 0 if the sender is unknown.
  [[nodiscard]] Incarnation HighestIncarnation(HostId sender) const noexcept;

  /// The number of senders evicted so far; a change means that a window was lost.
  [[nodiscard]] std::uint64_t Evictions() const noexcept { return m_evictions; }
  [[nodiscard]] std::size_t Senders() const noexcept { return m_windows.size(); }

 private:
  struct Window {
    Incarnation m_incarnation;
    std::uint64_t m_highest = 0;
    /// A ring of bits, indexed by the sequence number modulo `kWindowSize`.
    std::array<std::uint64_t, kWindowSize / 64> m_seen{};
    std::list<HostId>::iterator m_lru_position;

    [[nodiscard]] bool Test(std::uint64_t sequence) const noexcept;
    void Set(std::uint64_t sequence) noexcept;
    void Clear(std::uint64_t sequence) noexcept;
    void AdvanceTo(std::uint64_t sequence) noexcept;
  };

  /// Adds a sender; evicts the least recently used one if the limit is reached.
  Window& Insert(HostId sender, Incarnation incarnation);

  std::size_t m_max_senders;
  std::uint64_t m_evictions = 0;
  /// All senders, least recently used first.
  std::list<HostId> m_lru_order;
  std::unordered_map<HostId, Window> m_windows;
};

}  // namespace fighatch

#endif  // FIGHATCH_REPLAY_WINDOW_H_
