#include "daemon/tcp_message_transport.h"

#include <glog/logging.h>

#include <boost/fiber/operations.hpp>

namespace fighatch::daemon {
namespace {

using std::chrono::steady_clock;

// 64 KiB of message and room for an envelope around it.
constexpr std::size_t kMaxFrameBytes = 65 * 1024;
constexpr std::size_t kMaxQueuedMessages = 256;
constexpr int kMaxConnections = 256;
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::chrono::milliseconds kWriteTimeout{1000};
constexpr std::chrono::milliseconds kReconnectInterval{50};
// How soon a stop is noticed.
constexpr std::chrono::milliseconds kStopCheckInterval{100};

}  // namespace

Result<std::unique_ptr<TcpMessageTransport>> TcpMessageTransport::Create(const Endpoint& local,
                                                                         const std::map<HostId, Endpoint>& peers) {
  Result<io::TcpListener> listener = io::TcpListener::Listen(local);
  if (!IsOk(listener)) return ErrorOf(listener);
  std::unique_ptr<TcpMessageTransport> transport(new TcpMessageTransport(std::move(ValueOf(listener))));
  for (const auto& [host, endpoint] : peers) transport->m_peers[host].m_endpoint = endpoint;
  return transport;
}

TcpMessageTransport::~TcpMessageTransport() { Stop(); }

void TcpMessageTransport::Start(Receiver receive) {
  m_receive = std::move(receive);
  for (auto& [host, peer] : m_peers) {
    Peer* target = &peer;
    peer.m_fiber = boost::fibers::fiber([this, target] { SendLoop(target); });
  }
  m_accept_fiber = boost::fibers::fiber([this] { AcceptLoop(); });
}

void TcpMessageTransport::Stop() {
  m_stopping = true;
  for (auto& [host, peer] : m_peers) {
    peer.m_changed.notify_all();
    if (peer.m_fiber.joinable()) peer.m_fiber.join();
  }
  if (m_accept_fiber.joinable()) m_accept_fiber.join();
  while (m_connections > 0) boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
}

void TcpMessageTransport::Send(HostId to, std::vector<std::byte> message) {
  const auto found = m_peers.find(to);
  if (found == m_peers.end() || found->second.m_queue.size() >= kMaxQueuedMessages) return;
  found->second.m_queue.push_back(std::move(message));
  found->second.m_changed.notify_one();
}

void TcpMessageTransport::SendLoop(Peer* peer) {
  io::TcpStream stream;
  while (!m_stopping) {
    if (peer->m_queue.empty()) {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      peer->m_changed.wait_for(lock, kStopCheckInterval);
      continue;
    }
    if (!stream.IsOpen()) {
      Result<io::TcpStream> opened = io::TcpStream::Connect(peer->m_endpoint, steady_clock::now() + kConnectTimeout);
      if (!IsOk(opened)) {
        // What waited is out of date by the time the peer is back.
        peer->m_queue.clear();
        boost::this_fiber::sleep_for(kReconnectInterval);
        continue;
      }
      stream = std::move(ValueOf(opened));
    }
    const std::vector<std::byte> message = std::move(peer->m_queue.front());
    peer->m_queue.pop_front();
    if (!IsOk(stream.WriteFrame(message, steady_clock::now() + kWriteTimeout))) stream.Close();
  }
}

void TcpMessageTransport::AcceptLoop() {
  while (!m_stopping) {
    Result<io::TcpStream> stream = m_listener.Accept(steady_clock::now() + kStopCheckInterval);
    if (!IsOk(stream)) {
      if (ErrorOf(stream).m_code != ErrorCode::kIoTimeout) boost::this_fiber::sleep_for(kStopCheckInterval);
      continue;
    }
    if (m_connections >= kMaxConnections) continue;
    ++m_connections;
    boost::fibers::fiber([this, accepted = std::move(ValueOf(stream))]() mutable {
      ReceiveLoop(std::move(accepted));
      --m_connections;
    }).detach();
  }
}

void TcpMessageTransport::ReceiveLoop(io::TcpStream stream) {
  while (!m_stopping) {
    if (!io::Reactor::WaitReadable(stream.Fd(), steady_clock::now() + kStopCheckInterval)) continue;
    Result<std::vector<std::byte>> frame = stream.ReadFrame(kMaxFrameBytes, steady_clock::now() + kWriteTimeout);
    if (!IsOk(frame)) {
      if (ErrorOf(frame).m_code != ErrorCode::kIoClosed) {
        LOG(WARNING) << "event=message_refused " << ToString(ErrorOf(frame));
      }
      return;
    }
    m_receive(std::move(ValueOf(frame)));
  }
}

}  // namespace fighatch::daemon
