#ifndef FIGHATCH_ADMISSION_QUEUE_H_
#define FIGHATCH_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "fighatch/cookie_packet.h"
#include "fighatch/time.h"

namespace fighatch {

/// An opening packet that is held until a target can take its flow.
struct WaitingPacket {
  CookiePacket m_packet;
  /// Priority of the packet's route; 0 is the highest.
  std::uint32_t m_priority = 0;
  /// When the client first sent the packet; a retransmission does not change it.
  TimePoint m_first_sent;
  /// The raw packet, preceded by unused headroom for encapsulation.
  std::vector<std::byte> m_bytes;
  /// Until when an answer meets the route's latency objective; unset if the objective is not known.
  std::optional<TimePoint> m_objective_deadline;
};

/// Holds a balancer's opening packets that cannot be forwarded yet: after a start until targets are known, and while
/// all targets are full. It absorbs the load of many callers that return at once, after an outage or in a burst.
///
/// Within a priority the newest packet is served first: under a backlog it can still be answered in time, whereas the
/// oldest ones are late already, so the backlog does not delay new callers. Once the newest packet is late too, the
/// oldest one is served first, since its client gives up next.
class AdmissionQueue {
 public:
  static constexpr std::size_t kMaxPackets = 2048;
  /// A client gives up this long after it first sent an opening packet.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(1300);
  /// Number of client addresses whose turns are remembered.
  static constexpr std::size_t kMaxClients = 4096;

  /// Adds a packet. A retransmission replaces the held packet of its flow and keeps the time of the first transmission.
  void Put(WaitingPacket packet);

  /// Removes and returns the packet to serve next, with its age at `now`, skipping those to the `blocked` service
  /// addresses; empty if there is none.
  [[nodiscard]] std::optional<WaitingPacket> TakeNext(TimePoint now, const std::set<Endpoint>& blocked = {});

  /// Removes and returns all packets to one service address, in the order in which they are served while the service is
  /// short of room: first those that can still meet their objective if they are answered at `answer_at`. Among these
  /// the client addresses alternate, beginning with those that were served the longest ago, so that one address does
  /// not take the turns of others; of one address, and among equals, the newest packet comes first.
  [[nodiscard]] std::vector<WaitingPacket> TakeInTurns(const Endpoint& service, TimePoint answer_at);

  /// Records that this client address had its turn.
  void RecordServed(TimePoint now, const IpAddress& client);

  /// Removes packets whose client has given up.
  void Expire(TimePoint now);

  /// Removes and returns the packets beyond `limit`, those that would be served last: they cannot be served in time, so
  /// the caller should refuse them at once.
  [[nodiscard]] std::vector<WaitingPacket> RemoveExcess(std::size_t limit);

  [[nodiscard]] std::size_t Size() const noexcept { return m_packets.size(); }

 private:
  // Sorted by descending priority value, then by time of the first transmission: the last packet is the newest one of
  // the highest priority.
  std::vector<WaitingPacket> m_packets;
  // When each client address was last served in its turn, for as long as `kMaxWait`.
  std::map<IpAddress, TimePoint> m_last_served;
};

}  // namespace fighatch

#endif  // FIGHATCH_ADMISSION_QUEUE_H_
