#ifndef FIGHATCH_ADMISSION_QUEUE_H_
#define FIGHATCH_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "fighatch/cookie_packet.h"
#include "fighatch/time.h"

namespace fighatch {

/// An opening packet that waits.
struct WaitingPacket {
  CookiePacket m_packet;
  /// 0 is served first.
  std::uint32_t m_priority = 0;
  /// When the client sent the first copy.
  TimePoint m_first_sent;
  /// The packet's bytes behind unused headroom.
  std::vector<std::byte> m_bytes;
  /// Until when its answer can be in time; unset if that is not known.
  std::optional<TimePoint> m_objective_deadline;
};

/// Opening packets that wait for a target: after a start until targets are known, and when all targets have as much as
/// they can take. Answers the load pattern of many callers that return at once, after an outage or in a burst.
///
/// Among equal priorities the newest packet goes first: under a backlog it still gets its answer in time, whereas the
/// oldest ones are late already. So new callers do not pay for the backlog. Among packets that are all late the oldest
/// goes first, since its client gives up next.
class AdmissionQueue {
 public:
  static constexpr std::size_t kMaxPackets = 2048;
  /// A client gives an opening packet up after this long.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(1300);

  /// Adds a packet; a copy of a waiting one takes its place, with the time of the first.
  void Put(WaitingPacket packet);

  /// Removes and returns the packet to serve next, leaving out those to the `blocked` addresses; empty if there is
  /// none.
  [[nodiscard]] std::optional<WaitingPacket> TakeNext(TimePoint now, const std::set<Endpoint>& blocked = {});

  /// Removes packets that the client has given up.
  void Expire(TimePoint now);

  /// Removes and returns the packets beyond `limit`, those that would be served last: they cannot be served in time and
  /// are better refused at once.
  [[nodiscard]] std::vector<WaitingPacket> RemoveExcess(std::size_t limit);

  [[nodiscard]] std::size_t Size() const noexcept { return m_packets.size(); }

 private:
  // By descending priority value, then by time: the last packet is the newest of the most urgent ones.
  std::vector<WaitingPacket> m_packets;
};

}  // namespace fighatch

#endif  // FIGHATCH_ADMISSION_QUEUE_H_
