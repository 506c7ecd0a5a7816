#ifndef FIGHATCH_DAEMON_REQUEST_DRIVER_H_
#define FIGHATCH_DAEMON_REQUEST_DRIVER_H_

#include <boost/fiber/buffered_channel.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "daemon/data_plane.h"
#include "daemon/peer_sender.h"
#include "daemon/target_connections.h"
#include "fighatch/random.h"
#include "fighatch/request_engine.h"
#include "observe/tracer.h"

namespace fighatch::daemon {

/// What the request shell works with; all must outlive it.
struct RequestDriverDependencies {
  TargetAllowance* m_allowance = nullptr;
  PeerSender* m_peers = nullptr;
  observe::Tracer* m_tracer = nullptr;
  /// Sends an inner packet to a caller through the fabric.
  std::function<void(std::span<const std::byte>)> m_send_to_fabric;
  /// Takes how exchanges with targets ended; for the ramp and for refusals.
  std::function<void(const ReportExchange&)> m_on_exchange_end;
};

/// Runs the request engine of a balancer on the thread of the control fibers: datagrams from the data plane and events
/// from elsewhere go in, and the engine's actions are carried out on sockets.
class RequestDriver {
 public:
  RequestDriver(const RequestEngineSettings& settings, const RequestDriverDependencies& dependencies,
                std::uint64_t seed);
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  /// Queues a datagram; safe from the receive threads. False if the queue is full.
  [[nodiscard]] bool Push(RequestDatagram datagram);

  /// Gives an event to the engine and carries out its actions.
  void Handle(RequestEvent event);

  /// True after `StopRequested` once everything has been handed over.
  [[nodiscard]] bool IsDrained() const noexcept { return m_engine.IsDrained(); }
  [[nodiscard]] const RequestEngine& Engine() const noexcept { return m_engine; }
  /// Datagrams that did not parse or found the queue full.
  [[nodiscard]] std::uint64_t MalformedDatagrams() const noexcept { return m_malformed_datagrams; }

 private:
  using Inbox = boost::fibers::buffered_channel<RequestDatagram>;

  void ServeInbox();
  void ServeTimer();
  void HandleDatagram(const RequestDatagram& datagram);
  void PerformAction(RequestAction& action);
  void Perform(const SendAnswer& action);
  void Perform(const SendForward& action);
  void Perform(const SendForwardedAnswer& action);
  void Perform(const DispatchToTarget& action);
  void Perform(const CancelAtTarget& action);
  void Perform(const SendHandover& action);
  void Perform(const SendHandoverAck& action);
  void Perform(const AnnounceSuccessor& action);
  void Perform(const ReportExchange& action);
  void Perform(const SetTimer& action);
  void RunExchange(DispatchToTarget action);

  RequestDriverDependencies m_dependencies;
  Random m_random;
  RequestEngine m_engine;
  TargetConnections m_connections;
  Inbox m_inbox;
  std::uint64_t m_malformed_datagrams = 0;
  bool m_stopping = false;
  int m_open_exchanges = 0;
  std::optional<TimePoint> m_timer_at;
  boost::fibers::mutex m_timer_mutex;
  boost::fibers::condition_variable m_timer_changed;
  boost::fibers::fiber m_inbox_fiber;
  boost::fibers::fiber m_timer_fiber;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_REQUEST_DRIVER_H_
