#ifndef FIGHATCH_PROGRAMS_TARGET_TARGET_H_
#define FIGHATCH_PROGRAMS_TARGET_TARGET_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "daemon/stop_signal.h"
#include "fighatch/announcement.h"
#include "fighatch/http_message.h"
#include "flow_server.h"
#include "io/http_server.h"
#include "record_server.h"
#include "target_settings.h"

namespace fighatch::target {

/// Simulated target host, for tests and demonstrations: a flow server and a record server, announced to the balancers
/// by signed HTTP requests.
///
/// HTTP: `GET /health`, `GET /load`, `GET /v1/stats`, `GET /v1/records`, and `POST /v1/control/drain`, `/cold`,
/// `/silence` (stop announcing) and `/resume`; all other paths are requests of callers.
class Target {
 public:
  /// Reads the key and binds the sockets. Errors: `kKeyUnreadable`, `kIoSocket`.
  [[nodiscard]] static Result<std::unique_ptr<Target>> Create(const TargetSettings& settings);

  /// Serves until the stop signal. Then announces that it drains, goes on serving for the drain duration, and announces
  /// that it has stopped.
  void Run(daemon::StopSignal* stop);

 private:
  Target(const TargetSettings& settings, const TargetKey& key, FlowServer flows);

  [[nodiscard]] HttpResponse HandleHttp(const HttpRequest& request);
  [[nodiscard]] HttpResponse HandleControl(const std::string& verb);
  [[nodiscard]] std::string StatsJson() const;
  [[nodiscard]] std::string LoadJson() const;
  void AnnounceLoop();
  void Announce();
  [[nodiscard]] std::uint64_t UptimeMs() const;

  TargetSettings m_settings;
  TargetKey m_key;
  FlowServer m_flows;
  RecordServer m_records;
  std::unique_ptr<io::HttpServer> m_server;
  std::chrono::steady_clock::time_point m_started = std::chrono::steady_clock::now();
  TargetState m_state = TargetState::kServing;
  bool m_announcements_paused = false;
  bool m_stopping = false;
  std::uint64_t m_sequence = 0;
  std::size_t m_announce_index = 0;
};

}  // namespace fighatch::target

#endif  // FIGHATCH_PROGRAMS_TARGET_TARGET_H_
