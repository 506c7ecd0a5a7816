#ifndef FIGHATCH_REQUEST_MESSAGE_H_
#define FIGHATCH_REQUEST_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "fighatch/http_message.h"
#include "fighatch/ids.h"
#include "fighatch/outcome.h"
#include "fighatch/request_journal.h"

namespace fighatch {

/// A request that a balancer forwards to the one that may dispatch it (message `request_forward`). The structures in
/// this header are the messages that request engines of different balancers exchange.
struct ForwardedRequest {
  HostId m_origin;
  Incarnation m_origin_incarnation;
  /// Identifies the request at its origin and is repeated in the answer.
  std::uint64_t m_forward_id = 0;
  std::uint8_t m_hops = 0;
  ServiceId m_service;
  std::int64_t m_time_left_ns = 0;
  HttpRequest m_request;

  friend bool operator==(const ForwardedRequest&, const ForwardedRequest&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_origin, m_origin_incarnation, m_forward_id, m_hops, m_service, m_time_left_ns, m_request);
  }
};

/// The answer to a forwarded request (message `request_answer`).
struct ForwardedAnswer {
  HostId m_origin;
  Incarnation m_origin_incarnation;
  std::uint64_t m_forward_id = 0;
  RequestAnswer m_answer;

  friend bool operator==(const ForwardedAnswer&, const ForwardedAnswer&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_origin, m_origin_incarnation, m_forward_id, m_answer);
  }
};

/// One part of the journal of an issuer incarnation whose ownership a stopping balancer hands over to its successor
/// (message `handover`). The successor may dispatch once it has the parts 0 to `m_initial_parts` - 1. Later parts carry
/// the final states of requests that were in progress at the sender.
struct Handover {
  HostId m_sender;
  Incarnation m_sender_incarnation;
  HostId m_issuer;
  Incarnation m_issuer_incarnation;
  std::uint32_t m_shard = 0;
  std::uint32_t m_part = 0;
  std::uint32_t m_initial_parts = 0;
  /// The issuer's clock when the part was created, from which the successor computes the validity of ids. Transmission
  /// delay can only make the successor's estimate of that clock lag behind it, never run ahead of it.
  std::int64_t m_issuer_clock_ns = 0;
  std::vector<JournalRecord> m_records;

  friend bool operator==(const Handover&, const Handover&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sender, m_sender_incarnation, m_issuer, m_issuer_incarnation, m_shard, m_part, m_initial_parts,
            m_issuer_clock_ns, m_records);
  }
};

/// Acknowledges one part of a handover.
struct HandoverAck {
  HostId m_successor;
  HostId m_issuer;
  Incarnation m_issuer_incarnation;
  std::uint32_t m_shard = 0;
  std::uint32_t m_part = 0;

  friend bool operator==(const HandoverAck&, const HandoverAck&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_successor, m_issuer, m_issuer_incarnation, m_shard, m_part);
  }
};

/// Announces the host that owns an issuer incarnation from now on. The successor sends it to all balancers.
struct SuccessorNotice {
  HostId m_issuer;
  Incarnation m_issuer_incarnation;
  HostId m_successor;

  friend bool operator==(const SuccessorNotice&, const SuccessorNotice&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_issuer, m_issuer_incarnation, m_successor);
  }
};

/// Encoders to cereal's portable binary format, and the matching decoders. Errors of the decoders: `kMessageMalformed`.
[[nodiscard]] std::vector<std::byte> EncodeRequestMessage(const ForwardedRequest& message);
/// \copydoc EncodeRequestMessage
[[nodiscard]] std::vector<std::byte> EncodeRequestMessage(const ForwardedAnswer& message);
/// \copydoc EncodeRequestMessage
[[nodiscard]] std::vector<std::byte> EncodeRequestMessage(const Handover& message);
/// \copydoc EncodeRequestMessage
[[nodiscard]] std::vector<std::byte> EncodeRequestMessage(const HandoverAck& message);
/// \copydoc EncodeRequestMessage
[[nodiscard]] std::vector<std::byte> EncodeRequestMessage(const SuccessorNotice& message);
/// \copydoc EncodeRequestMessage
[[nodiscard]] Result<ForwardedRequest> DecodeForwardedRequest(std::span<const std::byte> bytes);
/// \copydoc EncodeRequestMessage
[[nodiscard]] Result<ForwardedAnswer> DecodeForwardedAnswer(std::span<const std::byte> bytes);
/// \copydoc EncodeRequestMessage
[[nodiscard]] Result<Handover> DecodeHandover(std::span<const std::byte> bytes);
/// \copydoc EncodeRequestMessage
[[nodiscard]] Result<HandoverAck> DecodeHandoverAck(std::span<const std::byte> bytes);
/// \copydoc EncodeRequestMessage
[[nodiscard]] Result<SuccessorNotice> DecodeSuccessorNotice(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_MESSAGE_H_
