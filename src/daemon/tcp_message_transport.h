#ifndef FIGHATCH_DAEMON_TCP_MESSAGE_TRANSPORT_H_
#define FIGHATCH_DAEMON_TCP_MESSAGE_TRANSPORT_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "daemon/message_transport.h"
#include "fighatch/address.h"
#include "io/tcp_stream.h"

namespace fighatch::daemon {

/// Sends messages as frames over one TCP connection for each direction and peer.
class TcpMessageTransport : public MessageTransport {
 public:
  /// Listens on `local`. Errors: `kIoSocket`.
  [[nodiscard]] static Result<std::unique_ptr<TcpMessageTransport>> Create(const Endpoint& local,
                                                                           const std::map<HostId, Endpoint>& peers);
  ~TcpMessageTransport() override;

  void Start(Receiver receive) override;
  void Send(HostId to, std::vector<std::byte> message) override;
  void Stop() override;

 private:
  struct Peer {
    Endpoint m_endpoint;
    std::deque<std::vector<std::byte>> m_queue;
    boost::fibers::condition_variable m_changed;
    boost::fibers::fiber m_fiber;
  };

  explicit TcpMessageTransport(io::TcpListener listener) : m_listener(std::move(listener)) {}

  void SendLoop(Peer* peer);
  void AcceptLoop();
  void ReceiveLoop(io::TcpStream stream);

  io::TcpListener m_listener;
  Receiver m_receive;
  boost::fibers::mutex m_mutex;
  std::map<HostId, Peer> m_peers;
  boost::fibers::fiber m_accept_fiber;
  int m_connections = 0;
  bool m_stopping = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_TCP_MESSAGE_TRANSPORT_H_
