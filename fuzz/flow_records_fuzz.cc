// Feeds bytes to the decoders of flow-records messages and their acknowledgements. Any input gives a message within the
// limits or a numbered error, and a decoded message is unchanged by encoding and decoding.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>

#include "fighatch/flow_records_message.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fighatch;  // NOLINT(google-build-using-namespace): short program.
  const auto bytes = std::as_bytes(std::span(data, size));
  const Result<FlowRecordsMessage> message = DecodeFlowRecords(bytes);
  if (IsOk(message)) {
    if (ValueOf(message).m_records.size() > kMaxRecordsInMessage) std::abort();
    const Result<FlowRecordsMessage> again = DecodeFlowRecords(EncodeFlowRecords(ValueOf(message)));
    if (!IsOk(again) || ValueOf(again) != ValueOf(message)) std::abort();
  }
  const Result<FlowRecordsAck> ack = DecodeFlowRecordsAck(bytes);
  if (IsOk(ack) && ValueOf(DecodeFlowRecordsAck(EncodeFlowRecordsAck(ValueOf(ack)))) != ValueOf(ack)) std::abort();
  return 0;
}
