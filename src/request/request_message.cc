#include "fighatch/request_message.h"

#include "wire/codec.h"

namespace fighatch {

std::vector<std::byte> EncodeRequestMessage(const ForwardedRequest& message) { return wire::Encode(message); }
std::vector<std::byte> EncodeRequestMessage(const ForwardedAnswer& message) { return wire::Encode(message); }
std::vector<std::byte> EncodeRequestMessage(const Handover& message) { return wire::Encode(message); }
std::vector<std::byte> EncodeRequestMessage(const HandoverAck& message) { return wire::Encode(message); }
std::vector<std::byte> EncodeRequestMessage(const SuccessorNotice& message) { return wire::Encode(message); }

Result<ForwardedRequest> DecodeForwardedRequest(std::span<const std::byte> bytes) {
  return wire::Decode<ForwardedRequest>(bytes);
}
Result<ForwardedAnswer> DecodeForwardedAnswer(std::span<const std::byte> bytes) {
  return wire::Decode<ForwardedAnswer>(bytes);
}
Result<Handover> DecodeHandover(std::span<const std::byte> bytes) { return wire::Decode<Handover>(bytes); }
Result<HandoverAck> DecodeHandoverAck(std::span<const std::byte> bytes) { return wire::Decode<HandoverAck>(bytes); }
Result<SuccessorNotice> DecodeSuccessorNotice(std::span<const std::byte> bytes) {
  return wire::Decode<SuccessorNotice>(bytes);
}

}  // namespace fighatch
