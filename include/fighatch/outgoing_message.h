#ifndef FIGHATCH_OUTGOING_MESSAGE_H_
#define FIGHATCH_OUTGOING_MESSAGE_H_

#include <cstddef>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/ids.h"
#include "fighatch/messages.h"

namespace fighatch {

/// A message that the core asks its shell to seal and send over UDP. It may be lost.
struct OutgoingMessage {
  Endpoint m_destination;
  /// 0 where only the endpoint is known.
  HostId m_receiver;
  MessageType m_type = MessageType::kProbe;
  std::vector<std::byte> m_payload;
};

}  // namespace fighatch

#endif  // FIGHATCH_OUTGOING_MESSAGE_H_
