#ifndef FIGHATCH_BULK_ADMISSION_H_
#define FIGHATCH_BULK_ADMISSION_H_

#include <cstdint>

#include "fighatch/cookie_packet.h"
#include "fighatch/time.h"

namespace fighatch {

/// What a host knows about bulk data when a flow of a service asks to open.
struct BulkDemand {
  /// Number of flows of the service whose size is known.
  std::uint64_t m_finished_flows = 0;
  /// Moving average of the bytes that flows of the service send.
  double m_mean_bytes = 0;
  /// Bytes that the open bulk flows of all services still have to send.
  std::uint64_t m_open_bytes = 0;
  /// Rate in bytes per second at which the host sends.
  double m_bytes_per_second = 0;
};

/// Admission control of bulk flows: decides whether a host takes another flow that sends much data. The caller of a
/// refused flow tries again at another host, so that hosts with more room take over.
class BulkAdmission {
 public:
  /// A service is bulk if its flows send at least this many bytes on average.
  static constexpr double kMinBulkBytes = 16000;
  /// A flow is refused if it is expected to take longer than this share of its objective on the link. A refused caller
  /// tries twice more, and each try needs its part of the objective.
  static constexpr double kMaxBulkShareOfObjective = 1.0 / 3;
  /// Fewer finished flows than this say too little about the size of the next one.
  static constexpr std::uint64_t kMinFinishedFlows = 8;

  /// True if the flow of an opening packet may be placed. `objective` is the latency objective of its route, 0 if there
  /// is none. A host without open bulk data admits any flow: where a single flow exceeds the limit, no host would take
  /// it.
  [[nodiscard]] bool Admit(const CookiePacket& packet, Duration objective, const BulkDemand& demand);

  /// Number of flows refused so far.
  [[nodiscard]] const std::uint64_t& Refused() const noexcept { return m_refused; }

 private:
  std::uint64_t m_refused = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_BULK_ADMISSION_H_
