#ifndef FIGHATCH_DAEMON_SEALED_MESSAGE_TRANSPORT_H_
#define FIGHATCH_DAEMON_SEALED_MESSAGE_TRANSPORT_H_

#include <map>
#include <memory>

#include "daemon/message_transport.h"
#include "daemon/peer_links.h"
#include "fighatch/address.h"

namespace fighatch::daemon {

/// Carries the messages of the replicated log between control hosts over one stream to each host, sealed (encrypted and
/// authenticated) by a `SecureChannel`. Forged, replayed, truncated and oversized messages are counted and dropped
/// before they reach the log.
class SealedMessageTransport : public MessageTransport {
 public:
  /// Binds to `local`. `channel` must outlive the transport. Errors: `kIoSocket`.
  [[nodiscard]] static Result<std::unique_ptr<SealedMessageTransport>> Create(const Endpoint& local,
                                                                              std::map<HostId, Endpoint> peers,
                                                                              SecureChannel* channel);

  void Start(Receiver receive) override;
  void Send(HostId to, std::vector<std::byte> message) override;
  void Stop() override;

 private:
  explicit SealedMessageTransport(std::map<HostId, Endpoint> peers) : m_peers(std::move(peers)) {}

  [[nodiscard]] std::optional<Endpoint> FindEndpoint(HostId host) const;

  std::map<HostId, Endpoint> m_peers;
  Receiver m_receive;
  std::unique_ptr<PeerLinks> m_links;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_SEALED_MESSAGE_TRANSPORT_H_
