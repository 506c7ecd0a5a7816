#include "fighatch/bulk_admission.h"

#include <chrono>

namespace fighatch {

bool BulkAdmission::Admit(const CookiePacket& packet, Duration objective, const BulkDemand& demand) {
  // The client of a retransmitted opening packet is past the point where another host could serve it sooner.
  if (!packet.m_opening || packet.m_retransmissions > 0) return true;
  if (objective <= Duration(0) || demand.m_bytes_per_second <= 0 || demand.m_open_bytes == 0) return true;
  if (demand.m_finished_flows < kMinFinishedFlows || demand.m_mean_bytes < kMinBulkBytes) return true;
  const double bytes = static_cast<double>(demand.m_open_bytes) + demand.m_mean_bytes;
  const double limit_seconds = kMaxBulkShareOfObjective * std::chrono::duration<double>(objective).count();
  if (bytes / demand.m_bytes_per_second <= limit_seconds) return true;
  ++m_refused;
  return false;
}

}  // namespace fighatch
