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

/// Long flows of one service, opened at a fixed rate.
struct FlowWorkload {
  std::string m_service;
  Endpoint m_address;
  Transport m_transport = Transport::kTcp;
  /// New flows a second.
  double m_rate = 10;
  /// How long a flow stays open.
  std::chrono::milliseconds m_flow_duration{5000};
  /// Time between two segments of a flow.
  std::chrono::milliseconds m_segment_interval{200};
};

/// Short requests of one record service, sent at a fixed rate.
struct RequestWorkload {
  std::string m_service;
  Endpoint m_address;
  /// Requests a second.
  double m_rate = 10;
  /// Share of requests that are non-idempotent entries, 0 to 1.
  double m_post_share = 0.2;
  std::chrono::milliseconds m_deadline{2000};
  /// Time without an answer after which a request is sent again.
  std::chrono::milliseconds m_resend_timeout{300};
};

/// Settings of the load tool.
struct LoadSettings {
  /// Takes answers.
  Endpoint m_local;
  /// Takes the callers' packets.
  Endpoint m_fabric;
  /// First address of callers; the following ones are used too.
  IpAddress m_caller_base;
  std::chrono::milliseconds m_duration{10000};
  std::uint64_t m_seed = 1;
  std::vector<FlowWorkload> m_flows;
  std::vector<RequestWorkload> m_requests;
  /// Where the JSON report goes; empty: standard output.
  std::string m_report_file;
  /// Where the SVG plot of service over time goes; empty: none.
  std::string m_plot_file;
};

/// Parses the settings. Errors: 2001 to 2006 with the path of the field.
[[nodiscard]] Result<LoadSettings> ParseLoadSettings(std::string_view text);

}  // namespace fighatch::load

#endif  // FIGHATCH_PROGRAMS_LOAD_LOAD_SETTINGS_H_
