#ifndef FIGHATCH_REQUEST_ID_H_
#define FIGHATCH_REQUEST_ID_H_

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fighatch/ids.h"
#include "fighatch/result.h"
#include "fighatch/time.h"

namespace fighatch {

/// Time after its issue within which a request id may start a request, on the issuer's clock.
inline constexpr Duration kRequestIdValidity = std::chrono::seconds(30);

/// Identifies one non-idempotent request. Only the owner of its issuer incarnation may dispatch the request: the issuer
/// itself or, after a handover, its successor.
struct RequestId {
  HostId m_issuer;
  Incarnation m_incarnation;
  /// Milliseconds on the issuer's monotonic clock.
  std::uint64_t m_issued_ms = 0;
  std::uint64_t m_counter = 0;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_issuer, m_incarnation, m_issued_ms, m_counter);
  }
};

/// End of the validity of an id, on the issuer's clock.
[[nodiscard]] TimePoint ValidUntil(const RequestId& id) noexcept;

/// Key for the MAC of request ids, equal on all balancers of a deployment.
using RequestIdKey = std::array<std::uint8_t, 32>;

/// Formats and verifies the text form `v1.<issuer>.<incarnation>.<issued ms>.<counter>.<MAC>`; the MAC is BLAKE2b-128.
class RequestIdCodec {
 public:
  /// Ids authenticated with `previous` are accepted too, so that keys can be rotated without an interruption.
  explicit RequestIdCodec(const RequestIdKey& key, std::optional<RequestIdKey> previous = std::nullopt) noexcept;

  /// The text form with a MAC under the current key.
  [[nodiscard]] std::string Format(const RequestId& id) const;

  /// Parses the canonical text form and verifies its MAC. Errors: `kRequestIdInvalid`.
  [[nodiscard]] Result<RequestId> Parse(std::string_view text) const;

 private:
  RequestIdKey m_key;
  std::optional<RequestIdKey> m_previous;
};

/// Issues the ids of one shard of a balancer. The shards of one incarnation use disjoint counters: shard i of n issues
/// i, i + n, i + 2n and so on.
class RequestIdIssuer {
 public:
  RequestIdIssuer(HostId host, Incarnation incarnation, std::uint32_t shard, std::uint32_t shard_count) noexcept;

  [[nodiscard]] RequestId Issue(TimePoint now) noexcept;

 private:
  HostId m_host;
  Incarnation m_incarnation;
  std::uint64_t m_next_counter;
  std::uint32_t m_shard_count;
};

}  // namespace fighatch

/// Hashes a request id by its issuer, incarnation and counter.
template <>
struct std::hash<fighatch::RequestId> {
  std::size_t operator()(const fighatch::RequestId& id) const noexcept;
};

#endif  // FIGHATCH_REQUEST_ID_H_
