#ifndef FIGHATCH_OFFERED_LOAD_H_
#define FIGHATCH_OFFERED_LOAD_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "fighatch/compact_archive.h"
#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch {

/// Limits of `OfferedLoad` and `LoadSummary` that encoders and decoders enforce.
inline constexpr std::size_t kMaxOfferedRates = 256;
inline constexpr std::size_t kMaxServiceNameBytes = 255;

/// Offered rate of new flows of one service and priority, refused flows included.
struct OfferedRate {
  /// Resolution on the wire, in units per flow per second.
  static constexpr double kUnitsPerFlow = 100;
  /// Higher rates are sent as this one.
  static constexpr double kMaxFlowsPerSecond = 1e7;

  std::string m_service;
  /// Priority of the route; 0 is the highest.
  std::uint32_t m_priority = 0;
  double m_flows_per_second = 0;

  friend bool operator==(const OfferedRate&, const OfferedRate&) = default;
};

/// Serialises rates as a list of service, priority and units; an empty service stands for the one of the rate before.
/// Throws `std::length_error` if the list or a name exceeds its limit.
template <typename Archive>
void SerializeRates(Archive& archive, std::vector<OfferedRate>& rates) {
  std::string previous;
  SerializeList(archive, rates, kMaxOfferedRates, [&previous](Archive& items, OfferedRate& rate) {
    std::string service = rate.m_service == previous ? std::string() : rate.m_service;
    std::uint32_t units = 0;
    if constexpr (Archive::is_saving::value) {
      // `max` with 0 as its first argument also replaces a value that is not a number.
      const double flows = std::min(std::max(0.0, rate.m_flows_per_second), OfferedRate::kMaxFlowsPerSecond);
      units = static_cast<std::uint32_t>(std::lround(flows * OfferedRate::kUnitsPerFlow));
    }
    SerializeText(items, service, kMaxServiceNameBytes);
    SerializeVarint(items, rate.m_priority);
    SerializeVarint(items, units);
    if constexpr (!Archive::is_saving::value) {
      rate.m_service = service.empty() ? previous : service;
      rate.m_flows_per_second = std::min(units / OfferedRate::kUnitsPerFlow, OfferedRate::kMaxFlowsPerSecond);
    }
    previous = rate.m_service;
  });
}

/// The version of `OfferedLoad` that this program sends and accepts.
inline constexpr std::uint8_t kOfferedLoadVersion = 1;

/// Sent between balancers together with a `LoadReport`: what the sender's clients request. It replaces the sender's
/// previous message.
struct OfferedLoad {
  /// Largest encoded message.
  static constexpr std::size_t kMaxBytes = 81920;

  std::uint8_t m_version = kOfferedLoadVersion;
  HostId m_from;
  /// Increases with each message of the sender's process.
  std::uint64_t m_sequence = 0;
  std::vector<OfferedRate> m_rates;

  friend bool operator==(const OfferedLoad&, const OfferedLoad&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_from);
    SerializeVarint(archive, m_sequence);
    SerializeRates(archive, m_rates);
  }
};

/// Throws `std::length_error` if a list or a name exceeds its limit.
[[nodiscard]] std::vector<std::byte> EncodeOfferedLoad(const OfferedLoad& load);
/// Errors: `kMessageMalformed`, `kMessageUnknownVersion`, `kMessageOversized`.
[[nodiscard]] Result<OfferedLoad> DecodeOfferedLoad(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_OFFERED_LOAD_H_
