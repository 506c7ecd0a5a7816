#include "balancer/request_driver.h"

#include <glog/logging.h>

#include <boost/fiber/operations.hpp>
#include <chrono>
#include <utility>

#include "fighatch/inner_packet.h"

namespace fighatch::daemon {
namespace {

constexpr std::size_t kInboxCapacity = 4096;
// The largest response that is read from a target. The engine refuses responses that do not fit a datagram.
constexpr std::size_t kMaxResponseBytes = 256 * 1024;

io::Deadline ToDeadline(TimePoint time) { return io::Deadline(time.time_since_epoch()); }

}  // namespace

RequestDriver::RequestDriver(const RequestEngineSettings& settings, const RequestDriverDependencies& dependencies,
                             std::uint64_t seed)
    : m_dependencies(dependencies),
      m_random(seed),
      m_engine(settings, dependencies.m_allowance, MakeLeastInProgress(), &m_random),
      m_inbox(kInboxCapacity),
      m_inbox_fiber([this] { ServeInbox(); }),
      m_timer_fiber([this] { ServeTimer(); }) {}

RequestDriver::~RequestDriver() {
  m_stopping = true;
  m_inbox.close();
  m_timer_changed.notify_all();
  m_inbox_fiber.join();
  m_timer_fiber.join();
  while (m_open_exchanges > 0) boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
}

bool RequestDriver::Push(RequestDatagram datagram) {
  return m_inbox.try_push(std::move(datagram)) == boost::fibers::channel_op_status::success;
}

void RequestDriver::ServeInbox() {
  RequestDatagram datagram;
  while (m_inbox.pop(datagram) == boost::fibers::channel_op_status::success) HandleDatagram(datagram);
}

void RequestDriver::HandleDatagram(const RequestDatagram& datagram) {
  Result<HttpRequest> request = ParseRequestDatagram(datagram.m_payload);
  if (!IsOk(request)) {
    ++m_malformed_datagrams;
    return Handle(MalformedDatagram{datagram.m_key.m_source, datagram.m_key.m_destination, ErrorOf(request).m_code});
  }
  Handle(CallerRequest{datagram.m_key.m_source, datagram.m_key.m_destination, datagram.m_service,
                       std::move(ValueOf(request))});
}

void RequestDriver::ServeTimer() {
  std::unique_lock<boost::fibers::mutex> lock(m_timer_mutex);
  while (!m_stopping) {
    if (!m_timer_at) {
      m_timer_changed.wait(lock);
      continue;
    }
    const TimePoint at = *m_timer_at;
    if (DataPlane::Now() < at) {
      m_timer_changed.wait_until(lock, ToDeadline(at));
      continue;
    }
    m_timer_at.reset();
    lock.unlock();
    Handle(TimerExpired{});
    lock.lock();
  }
}

void RequestDriver::Handle(RequestEvent event) {
  for (RequestAction& action : m_engine.Handle(DataPlane::Now(), std::move(event))) PerformAction(action);
}

void RequestDriver::PerformAction(RequestAction& action) {
  std::visit([this](const auto& chosen) { Perform(chosen); }, action);
}

void RequestDriver::Perform(const SendAnswer& action) {
  const std::string text = ToString(action.m_response);
  m_dependencies.m_send_to_fabric(
      BuildUdpPacket(action.m_service_address, action.m_caller, std::as_bytes(std::span(text))));
}

void RequestDriver::Perform(const SendForward& action) {
  const std::uint64_t forward_id = action.m_message.m_forward_id;
  m_dependencies.m_peers->SendStream(action.m_host, MessageType::kRequestForward,
                                     EncodeRequestMessage(action.m_message),
                                     [this, forward_id] { Handle(ForwardFailed{forward_id}); });
}

void RequestDriver::Perform(const SendForwardedAnswer& action) {
  m_dependencies.m_peers->SendStream(action.m_host, MessageType::kRequestAnswer, EncodeRequestMessage(action.m_message),
                                     {});
}

void RequestDriver::Perform(const SendHandover& action) {
  m_dependencies.m_peers->SendStream(action.m_host, MessageType::kHandover, EncodeRequestMessage(action.m_message), {});
}

void RequestDriver::Perform(const SendHandoverAck& action) {
  m_dependencies.m_peers->SendStream(action.m_host, MessageType::kHandoverAck, EncodeRequestMessage(action.m_message),
                                     {});
}

void RequestDriver::Perform(const AnnounceSuccessor& action) {
  m_dependencies.m_peers->SendToBalancers(MessageType::kSuccessorNotice, EncodeRequestMessage(action.m_notice));
}

void RequestDriver::Perform(const ReportExchange& action) { m_dependencies.m_on_exchange_end(action); }

void RequestDriver::Perform(const SetTimer& action) {
  const std::lock_guard<boost::fibers::mutex> lock(m_timer_mutex);
  m_timer_at = action.m_at;
  m_timer_changed.notify_all();
}

void RequestDriver::Perform(const CancelAtTarget& action) { m_connections.Cancel(action.m_exchange); }

void RequestDriver::Perform(const DispatchToTarget& action) {
  ++m_open_exchanges;
  boost::fibers::fiber([this, action] {
    RunExchange(action);
    --m_open_exchanges;
  }).detach();
}

void RequestDriver::RunExchange(DispatchToTarget action) {
  const std::string traceparent(FindHeader(action.m_request.m_headers, "traceparent").value_or(""));
  observe::Span span = m_dependencies.m_tracer->StartChildSpan("dispatch", traceparent);
  if (!span.Context().m_trace_id.empty()) {
    SetHeader(&action.m_request.m_headers, "traceparent", ToTraceparent(span.Context()));
  }
  Result<io::HttpConnection> connection = m_connections.Acquire(action.m_endpoint, ToDeadline(action.m_deadline));
  if (!IsOk(connection)) {
    span.SetTag("error", ErrorName(ErrorOf(connection).m_code));
    // Nothing was sent, so the request was certainly not run, whatever the error.
    return Handle(TargetFailed{action.m_exchange, TargetFailure::kRefused});
  }
  m_connections.Attach(action.m_exchange, &ValueOf(connection));
  Result<HttpResponse> response =
      ValueOf(connection).Exchange(action.m_request, kMaxResponseBytes, ToDeadline(action.m_deadline));
  m_connections.Detach(action.m_exchange);
  if (!IsOk(response)) {
    span.SetTag("error", ErrorName(ErrorOf(response).m_code));
    const bool too_large = ErrorOf(response).m_code == ErrorCode::kRequestTooLarge;
    return Handle(TargetFailed{action.m_exchange, too_large ? TargetFailure::kResponseTooLarge : TargetFailure::kLost});
  }
  m_connections.Release(action.m_endpoint, std::move(ValueOf(connection)));
  Handle(TargetResponded{action.m_exchange, std::move(ValueOf(response))});
}

}  // namespace fighatch::daemon
