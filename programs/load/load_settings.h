#ifndef FIGHATCH_PROGRAMS_LOAD_LOAD_SETTINGS_H_
#define FIGHATCH_PROGRAMS_LOAD_LOAD_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/flow_key.h"
#include "fighatch/result.h"

namespace fighatch::load {

/// Workload of one service in flow mode: long flows, opened at a fixed rate.
struct FlowWorkload {
  std::string m_service;
  Endpoint m_address;
  Transport m_transport = Transport::kTcp;
  /// New flows per second.
  double m_rate = 10;
  /// How long a flow stays open.
  std::chrono::milliseconds m_flow_duration{5000};
  /// Time between two segments of a flow.
  std::chrono::milliseconds m_segment_interval{200};
};

/// Workload of one service in request mode: lookups and entries, sent at a fixed rate.
struct RequestWorkload {
  std::string m_service;
  Endpoint m_address;
  /// Requests per second.
  double m_rate = 10;
  /// Fraction of requests that are non-idempotent entries (POST), 0 to 1; the others are lookups (GET).
  double m_post_share = 0.2;
  std::chrono::milliseconds m_deadline{2000};
  /// Time without a response after which a request is sent again.
  std::chrono::milliseconds m_resend_timeout{300};
};

/// Settings of the load generator.
struct LoadSettings {
  /// UDP endpoint that receives the packets to callers, in GUE.
  Endpoint m_local;
  /// GUE endpoint of the fabric, to which the callers' packets are sent.
  Endpoint m_fabric;
  /// First source address of callers; the addresses after it are used as the ports of one run out.
  IpAddress m_caller_base;
  std::chrono::milliseconds m_duration{10000};
  std::uint64_t m_seed = 1;
  std::vector<FlowWorkload> m_flows;
  std::vector<RequestWorkload> m_requests;
  /// File for the JSON report; empty: standard output.
  std::string m_report_file;
  /// File for the SVG plot of outcomes over time; empty: no plot.
  std::string m_plot_file;
};

/// Parses the settings. Errors: 2001 to 2006, with the path of the field.
[[nodiscard]] Result<LoadSettings> ParseLoadSettings(std::string_view text);

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_LOAD_SETTINGS_H_
