#ifndef FIGHATCH_OUTGOING_MESSAGE_H_
#define FIGHATCH_OUTGOING_MESSAGE_H_

#include <cstddef>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/ids.h"
#include "fighatch/messages.h"

namespace fighatch {

/// A message that the core, which does no I/O itself, asks its daemon to seal and send over UDP. Delivery is not
/// guaranteed.
struct OutgoingMessage {
  Endpoint m_destination;
  /// 0 if only the endpoint of the receiver is known.
  HostId m_receiver;
  MessageType m_type = MessageType::kProbe;
  std::vector<std::byte> m_payload;
};

}  // namespace fighatch

#endif  // FIGHATCH_OUTGOING_MESSAGE_H_
