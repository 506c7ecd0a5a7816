// What a balancer learns about requests from the packets of clients, for placement by remaining work.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "fighatch/cookie_steering.h"
#include "steering/target_load.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;

// New data begins another request, rather than continuing an upload, if none was sent for two round trips and this
// long.
constexpr milliseconds kMinRequestPause{10};
// Time over which the flows of other balancers at a target are averaged.
constexpr milliseconds kRemoteFlowsPeriod{500};

bool ContinuesRequest(TimePoint now, const PlacedFlow& flow) {
  return flow.m_in_request && now - flow.m_last_data <= flow.m_opened_after * 2 + kMinRequestPause;
}

}  // namespace

void CookieSteering::RecordRequestProgress(TimePoint now, const CookiePacket& packet, PlacedFlow* flow,
                                           SteeringTarget* target) {
  // The end of the flow ends its request.
  if (packet.m_closing) return;
  if (packet.m_data_bytes > 0) {
    // A retransmission begins no request.
    if (flow->m_requests > 0 && !IsSequenceAfter(packet.m_sequence, flow->m_last_sequence)) return;
    if (ContinuesRequest(now, *flow)) {
      DelayRequest(flow, target, now - flow->m_last_data);
    } else {
      EndRequest(now, flow, target, false);
      BeginRequest(now, flow, target);
    }
    flow->m_last_data = now;
    flow->m_last_sequence = packet.m_sequence;
  } else if (now - flow->m_last_data >= flow->m_opened_after / 2) {
    // An earlier packet cannot acknowledge an answer to the last data.
    EndRequest(now, flow, target, true);
  }
  // Between requests an open flow is no load.
  SetCountsAsLoad(flow, flow->m_in_request || flow->m_requests == 0);
}

void CookieSteering::BeginRequest(TimePoint now, PlacedFlow* flow, SteeringTarget* target) {
  SetCountsAsLoad(flow, true);
  const double slots = SlotsOf(*target);
  const double queued = std::max(0.0, FlowsAt(*target) - slots);
  const double wait_ms = queued * m_work->MeanWorkMs(flow->m_request.m_route) / (slots * target->m_speed.m_speed);
  flow->m_request.m_started =
      now + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(wait_ms));
  flow->m_found_free_slot = queued <= 0;
  flow->m_in_request = true;
  ++flow->m_requests;
  target->m_requests.push_back(flow->m_request);
}

void CookieSteering::DelayRequest(PlacedFlow* flow, SteeringTarget* target, Duration delay) {
  SetCountsAsLoad(flow, true);
  RemoveRequest(flow->m_request, target);
  flow->m_request.m_started += delay;
  target->m_requests.push_back(flow->m_request);
}

void CookieSteering::EndRequest(TimePoint now, PlacedFlow* flow, SteeringTarget* target, bool seen) {
  if (!flow->m_in_request) return;
  RecordRequestEnd(now, *flow, target, seen);
  flow->m_in_request = false;
}

void CookieSteering::RecordRequestEnd(TimePoint now, const PlacedFlow& flow, SteeringTarget* target, bool seen) {
  if (flow.m_counts_as_load) RemoveRequest(flow.m_request, target);
  m_work->RecordEnd(flow.m_request.m_route, seen);
  if (!seen || !flow.m_found_free_slot) return;
  WorkSample sample;
  sample.m_route = flow.m_request.m_route;
  sample.m_time_ms = Milliseconds(now - flow.m_last_data - flow.m_opened_after);
  sample.m_load_time_ms = Milliseconds(now - (flow.m_requests == 1 ? flow.m_placed : flow.m_request.m_started));
  m_work->AddSample(now, sample, &target->m_speed);
  ++m_work_samples;
}

void CookieSteering::AverageRemoteFlows(TimePoint now) {
  const double weight = 1 - std::exp(-Milliseconds(now - m_remote_flows_averaged) / Milliseconds(kRemoteFlowsPeriod));
  m_remote_flows_averaged = now;
  for (auto& [id, target] : m_targets.All()) {
    target.m_mean_remote_flows += weight * (target.m_remote_flows - target.m_mean_remote_flows);
  }
}

void CookieSteering::RefreshWork(TimePoint now) {
  m_work->Refresh();
  for (const auto& [service, processing_ms] : m_service_processing_ms) {
    std::vector<TargetSpeed*> speeds;
    for (SteeringTarget* target : m_targets.OfService(service)) speeds.push_back(&target->m_speed);
    m_work->UpdateSpeeds(now, speeds);
  }
}

}  // namespace fighatch
