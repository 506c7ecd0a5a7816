#include "daemon/peer_links.h"

#include <glog/logging.h>

#include <boost/fiber/operations.hpp>
#include <chrono>
#include <utility>

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStopCheckInterval{100};
constexpr milliseconds kConnectTimeout{500};
constexpr milliseconds kFrameTimeout{1000};
// An incoming stream without messages for this long is closed; the peer opens a new one for its next message.
constexpr std::chrono::seconds kStreamIdleTimeout{60};
// The most messages that are queued for one host. Further ones fail at once.
constexpr std::size_t kLinkQueueCapacity = 1024;
constexpr int kMaxIncomingStreams = 2048;

io::Deadline After(milliseconds time) { return steady_clock::now() + time; }

}  // namespace

PeerLinks::Link::Link() : m_queue(kLinkQueueCapacity) {}

PeerLinks::PeerLinks(SecureChannel* channel, PeerDirectory directory, MessageHandler handler)
    : m_channel(channel), m_directory(std::move(directory)), m_handler(std::move(handler)) {}

PeerLinks::~PeerLinks() { Stop(); }

Result<std::unique_ptr<PeerLinks>> PeerLinks::Create(const Endpoint& local, SecureChannel* channel,
                                                     PeerDirectory directory, MessageHandler handler) {
  std::unique_ptr<PeerLinks> links(new PeerLinks(channel, std::move(directory), std::move(handler)));
  Result<io::MessageSocket> socket = io::MessageSocket::Bind(local, channel, &links->m_counters);
  if (!IsOk(socket)) return ErrorOf(socket);
  Result<io::TcpListener> listener = io::TcpListener::Listen(ValueOf(socket).Local());
  if (!IsOk(listener)) return ErrorOf(listener);
  links->m_socket.emplace(std::move(ValueOf(socket)));
  links->m_listener.emplace(std::move(ValueOf(listener)));
  return links;
}

void PeerLinks::Start() {
  m_fibers.emplace_back([this] { ReceiveDatagrams(); });
  m_fibers.emplace_back([this] { AcceptStreams(); });
}

void PeerLinks::Stop() {
  m_stopping = true;
  for (auto& [host, link] : m_links) link->m_queue.close();
  for (auto& [host, link] : m_links) link->m_fiber.join();
  m_links.clear();
  for (boost::fibers::fiber& fiber : m_fibers) fiber.join();
  m_fibers.clear();
  while (m_incoming_streams > 0) boost::this_fiber::sleep_for(milliseconds(1));
}

void PeerLinks::ReceiveDatagrams() {
  while (!m_stopping) {
    for (const io::ReceivedMessage& message : m_socket->Receive(After(kStopCheckInterval))) {
      m_handler(message.m_envelope, message.m_source);
    }
  }
}

void PeerLinks::AcceptStreams() {
  while (!m_stopping) {
    Result<io::TcpStream> stream = m_listener->Accept(After(kStopCheckInterval));
    if (!IsOk(stream) || m_incoming_streams >= kMaxIncomingStreams) continue;
    ++m_incoming_streams;
    boost::fibers::fiber([this, accepted = std::move(ValueOf(stream))]() mutable {
      ReceiveStream(std::move(accepted));
      --m_incoming_streams;
    }).detach();
  }
}

void PeerLinks::ReceiveStream(io::TcpStream stream) {
  auto idle_until = steady_clock::now() + kStreamIdleTimeout;
  const int fd = stream.Fd();
  io::MessageStream messages(std::move(stream), m_channel, &m_counters);
  while (!m_stopping && messages.IsOpen() && steady_clock::now() < idle_until) {
    // Waits for the first bytes separately, so that the short stop check does not interrupt the receipt of a frame.
    if (!io::Reactor::WaitReadable(fd, After(kStopCheckInterval))) continue;
    const Result<Envelope> message = messages.Receive(After(kFrameTimeout));
    if (!IsOk(message)) return;
    idle_until = steady_clock::now() + kStreamIdleTimeout;
    m_handler(ValueOf(message), {});
  }
}

void PeerLinks::Send(HostId host, MessageType type, const std::vector<std::byte>& payload) {
  if (payload.size() > kMaxUdpPayloadBytes) return SendStream(host, type, payload, {});
  const std::optional<Endpoint> endpoint = m_directory.m_find_endpoint(host);
  if (endpoint) SendTo({*endpoint, host, type, payload});
}

void PeerLinks::SendTo(const OutgoingMessage& message) {
  const Status sent = m_socket->Send(message.m_destination, message.m_receiver, message.m_type, message.m_payload);
  if (!IsOk(sent)) {
    LOG_EVERY_N(WARNING, 100) << "event=message_not_sent type=" << MessageTypeText(message.m_type)
                              << " host=" << message.m_receiver.m_value << " " << ToString(ErrorOf(sent));
  }
}

void PeerLinks::SendStream(HostId host, MessageType type, std::vector<std::byte> payload,
                           std::function<void()> on_failure) {
  std::unique_ptr<Link>& link = m_links[host];
  if (!link) {
    link = std::make_unique<Link>();
    link->m_fiber = boost::fibers::fiber([this, host, raw = link.get()] { ServeLink(host, raw); });
  }
  QueuedMessage message{type, std::move(payload), on_failure};
  const auto status = link->m_queue.try_push(std::move(message));
  if (status != boost::fibers::channel_op_status::success && on_failure) on_failure();
}

void PeerLinks::SendToBalancers(MessageType type, const std::vector<std::byte>& payload) {
  for (const HostId host : m_directory.m_balancers()) SendStream(host, type, payload, {});
}

void PeerLinks::ServeLink(HostId host, Link* link) {
  std::optional<io::MessageStream> stream;
  auto last_used = steady_clock::now();
  QueuedMessage message;
  while (link->m_queue.pop(message) == boost::fibers::channel_op_status::success) {
    // Uses a new stream after half of the receiver's idle timeout, because a message written to a stream that the peer
    // has closed is lost without notice.
    if (steady_clock::now() - last_used > kStreamIdleTimeout / 2) stream.reset();
    last_used = steady_clock::now();
    if (SendOnStream(host, &stream, message)) continue;
    if (message.m_on_failure) message.m_on_failure();
    FailQueued(link);
  }
}

void PeerLinks::FailQueued(Link* link) {
  // The messages would be out of date by the time that the host is reachable again, and each would wait for its own
  // connection attempt.
  QueuedMessage message;
  while (link->m_queue.try_pop(message) == boost::fibers::channel_op_status::success) {
    if (message.m_on_failure) message.m_on_failure();
  }
}

bool PeerLinks::SendOnStream(HostId host, std::optional<io::MessageStream>* stream, const QueuedMessage& message) {
  // When a peer restarts, the stream to its former process is closed, and the next message on it would be lost.
  if (!*stream || !(*stream)->IsOpen() || (*stream)->HasPeerClosed()) {
    stream->reset();
    const std::optional<Endpoint> endpoint = m_directory.m_find_endpoint(host);
    if (!endpoint) return false;
    Result<io::MessageStream> connected =
        io::MessageStream::Connect(*endpoint, host, m_channel, &m_counters, After(kConnectTimeout));
    if (!IsOk(connected)) return false;
    stream->emplace(std::move(ValueOf(connected)));
  }
  const Status sent = (*stream)->Send(message.m_type, message.m_payload, After(kFrameTimeout));
  if (!IsOk(sent)) stream->reset();
  return IsOk(sent);
}

}  // namespace fighatch::daemon
