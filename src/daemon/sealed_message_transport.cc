#include "daemon/sealed_message_transport.h"

#include <utility>

namespace fighatch::daemon {

Result<std::unique_ptr<SealedMessageTransport>> SealedMessageTransport::Create(const Endpoint& local,
                                                                               std::map<HostId, Endpoint> peers,
                                                                               SecureChannel* channel) {
  std::unique_ptr<SealedMessageTransport> transport(new SealedMessageTransport(std::move(peers)));
  SealedMessageTransport* transport_ptr = transport.get();
  PeerDirectory directory;
  directory.m_find_endpoint = [transport_ptr](HostId host) { return transport_ptr->FindEndpoint(host); };
  directory.m_balancers = [] { return std::vector<HostId>(); };
  auto links = PeerLinks::Create(
      local, channel, std::move(directory), [transport_ptr](const Envelope& message, const Endpoint&) {
        const bool is_peer = transport_ptr->FindEndpoint(message.m_header.m_sender).has_value();
        if (is_peer && message.m_header.m_type == MessageType::kRaft) transport_ptr->m_receive(message.m_payload);
      });
  if (!IsOk(links)) return ErrorOf(links);
  transport->m_links = std::move(ValueOf(links));
  return transport;
}

std::optional<Endpoint> SealedMessageTransport::FindEndpoint(HostId host) const {
  const auto found = m_peers.find(host);
  return found == m_peers.end() ? std::nullopt : std::optional(found->second);
}

void SealedMessageTransport::Start(Receiver receive) {
  m_receive = std::move(receive);
  m_links->Start();
}

void SealedMessageTransport::Send(HostId to, std::vector<std::byte> message) {
  m_links->SendStream(to, MessageType::kRaft, std::move(message), {});
}

void SealedMessageTransport::Stop() { m_links->Stop(); }

}  // namespace fighatch::daemon
