#include "record_server.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace fighatch::target {
namespace {

using std::chrono::steady_clock;

// Capacity of a cold target in requests in progress; more count as overload.
constexpr std::uint32_t kColdCapacity = 1;

}  // namespace

RecordServer::RecordServer(const TargetSettings& settings)
    : m_settings(settings), m_cold_until(steady_clock::now() + settings.m_warm_up) {}

bool RecordServer::IsCold() const { return steady_clock::now() < m_cold_until; }

void RecordServer::ResetToCold() { m_cold_until = steady_clock::now() + m_settings.m_warm_up; }

HttpResponse RecordServer::Handle(const HttpRequest& request) {
  ++m_counters.m_requests;
  if (m_in_progress >= m_settings.m_slots) {
    ++m_counters.m_shed_requests;
    return {503, {{"Fighatch-Not-Run", "1"}}, "no free slot\n"};
  }
  ++m_in_progress;
  m_counters.m_peak_in_progress = std::max(m_counters.m_peak_in_progress, m_in_progress);
  if (IsCold() && m_in_progress > kColdCapacity) ++m_counters.m_overloads;
  const double factor = IsCold() ? m_settings.m_cold_factor : 1;
  boost::this_fiber::sleep_for(std::chrono::duration_cast<steady_clock::duration>(m_settings.m_service_time * factor));
  if (request.m_method == "POST") Record(request);
  --m_in_progress;
  const std::string token(FindHeader(request.m_headers, "X-Request-Id").value_or(""));
  return {200,
          {{"Content-Type", "text/plain"}},
          m_settings.m_service + " " + ToString(m_settings.m_http) + " " + request.m_method + " " + request.m_path +
              " " + token + "\n"};
}

void RecordServer::Record(const HttpRequest& request) {
  const std::string key(FindHeader(request.m_headers, "Idempotency-Key").value_or(""));
  ++m_counters.m_records;
  if (++m_records[key] > 1) ++m_counters.m_duplicate_records;
}

}  // namespace fighatch::target
