#ifndef FIGHATCH_BALANCER_REQUEST_DRIVER_H_
#define FIGHATCH_BALANCER_REQUEST_DRIVER_H_

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

#include "balancer/data_plane.h"
#include "balancer/target_connections.h"
#include "daemon/peer_sender.h"
#include "fighatch/random.h"
#include "fighatch/request_engine.h"
#include "observe/tracer.h"

namespace fighatch::daemon {

/// Objects that the request driver uses. They must outlive it.
struct RequestDriverDependencies {
  TargetAllowance* m_allowance = nullptr;
  PeerSender* m_peers = nullptr;
  observe::Tracer* m_tracer = nullptr;
  /// Sends an inner packet to a caller through the fabric.
  std::function<void(std::span<const std::byte>)> m_send_to_fabric;
  /// Receives the results of exchanges with targets, for the ramp and for refused connections.
  std::function<void(const ReportExchange&)> m_on_exchange_end;
};

/// Runs the request engine of a balancer on the thread of the control fibers. It passes request datagrams of the data
/// plane and events of the control loop to the engine, and performs the engine's actions: it sends answers and
/// messages, exchanges requests with targets and keeps the timer. Failures of targets and peers go back to the engine
/// as events.
class RequestDriver {
 public:
  RequestDriver(const RequestEngineSettings& settings, const RequestDriverDependencies& dependencies,
                std::uint64_t seed);
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  /// Queues a datagram; may be called from the receive threads. False if the queue is full.
  [[nodiscard]] bool Push(RequestDatagram datagram);

  /// Passes an event to the engine and performs the actions that it returns.
  void Handle(RequestEvent event);

  /// True after `StopRequested` once everything has been handed over.
  [[nodiscard]] bool IsDrained() const noexcept { return m_engine.IsDrained(); }
  [[nodiscard]] const RequestEngine& Engine() const noexcept { return m_engine; }
  /// Number of datagrams that did not parse as a request.
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
  /// Sends a request to a target, waits for the response and reports the result to the engine.
  void RunExchange(DispatchToTarget action);

  RequestDriverDependencies m_dependencies;
  Random m_random;
  RequestEngine m_engine;
  TargetConnections m_connections;
  Inbox m_inbox;
  std::uint64_t m_malformed_datagrams = 0;
  bool m_stopping = false;
  int m_open_exchanges = 0;
  /// When the engine's timer expires; empty if it is not set.
  std::optional<TimePoint> m_timer_at;
  boost::fibers::mutex m_timer_mutex;
  boost::fibers::condition_variable m_timer_changed;
  boost::fibers::fiber m_inbox_fiber;
  boost::fibers::fiber m_timer_fiber;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_REQUEST_DRIVER_H_
