#ifndef FIGHATCH_LOAD_SUMMARY_H_
#define FIGHATCH_LOAD_SUMMARY_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

#include "fighatch/compact_archive.h"
#include "fighatch/ids.h"
#include "fighatch/offered_load.h"
#include "fighatch/result.h"
#include "fighatch/sync_message.h"

namespace fighatch {

/// The version of `LoadSummary` that this program sends and accepts.
inline constexpr std::uint8_t kLoadSummaryVersion = 1;

/// Sent to a balancer of another data centre: the load that the balancers of the sender's data centre put on targets.
/// The newest summary of a data centre replaces the previous one, whichever of its balancers sent it, except for what
/// the newest leaves out (see `LoadView::Receive`).
struct LoadSummary {
  static constexpr std::size_t kMaxLoads = 8192;
  static constexpr std::size_t kMaxDataCentreBytes = 255;
  /// Largest encoded message.
  static constexpr std::size_t kMaxBytes = 147456;

  std::uint8_t m_version = kLoadSummaryVersion;
  HostId m_from;
  std::string m_data_centre;
  /// Increases with each summary of the sender's process.
  std::uint64_t m_sequence = 0;
  /// Number of balancers whose offered rates are included, the sender among them.
  std::uint32_t m_balancers = 0;
  /// True if `m_loads` holds the flows of the data centre: only if the sender was recently short of room.
  bool m_has_flows = false;
  /// Flows in progress by target.
  std::vector<CookieLoad> m_loads;
  std::vector<OfferedRate> m_rates;

  friend bool operator==(const LoadSummary&, const LoadSummary&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_from);
    SerializeText(archive, m_data_centre, kMaxDataCentreBytes);
    SerializeVarint(archive, m_sequence);
    SerializeVarint(archive, m_balancers);
    std::uint8_t has_flows = m_has_flows ? 1 : 0;
    SerializeVarint(archive, has_flows);
    if (has_flows > 1) throw std::length_error("flag is out of range");
    m_has_flows = has_flows == 1;
    SerializeList(archive, m_loads, kMaxLoads, [](Archive& items, CookieLoad& load) {
      items(load.m_cookie);
      SerializeVarint(items, load.m_flows);
    });
    SerializeRates(archive, m_rates);
  }
};

/// Throws `std::length_error` if a list or a name exceeds its limit.
[[nodiscard]] std::vector<std::byte> EncodeLoadSummary(const LoadSummary& summary);
/// Errors: `kMessageMalformed`, `kMessageUnknownVersion`, `kMessageOversized`.
[[nodiscard]] Result<LoadSummary> DecodeLoadSummary(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_LOAD_SUMMARY_H_
