#ifndef FIGHATCH_PROGRAMS_BALANCER_BALANCER_H_
#define FIGHATCH_PROGRAMS_BALANCER_BALANCER_H_

#include <memory>
#include <optional>

#include "balancer/control_loop.h"
#include "balancer/data_plane.h"
#include "balancer/request_driver.h"
#include "balancer/state_follower.h"
#include "balancer_settings.h"
#include "daemon/peer_links.h"
#include "daemon/stop_signal.h"
#include "fighatch/file_store.h"
#include "io/http_server.h"
#include "observe/metrics.h"
#include "observe/tracer.h"

namespace fighatch::balancer {

/// The balancer process: forwards packets of callers to targets and takes part in the cluster of balancers. The data
/// plane runs on its receive threads; cluster control, requests and HTTP run in fibers on the thread that calls `Run`.
///
/// HTTP: `POST /v1/announce`, `GET /v1/health`, `GET /v1/members`, `GET /v1/explain?...`, `GET /metrics`.
class Balancer {
 public:
  /// Reads the keys and the stored state and binds the sockets. Errors: `kKeyUnreadable`, `kIoSocket`, and the storage
  /// errors (6001 to 6005).
  [[nodiscard]] static Result<std::unique_ptr<Balancer>> Create(const BalancerSettings& settings);

  /// Serves until the stop signal, then leaves the cluster: hands its duties to other balancers and waits for requests
  /// in progress, up to the stop timeout.
  void Run(daemon::StopSignal* stop);

 private:
  explicit Balancer(const BalancerSettings& settings);

  [[nodiscard]] Status LoadKeys();
  [[nodiscard]] Status OpenFiles();
  [[nodiscard]] Status OpenSockets();
  void AddMetrics();

  /// Starts the control loop, the request engine and the data plane. Does nothing if `state` does not list the data
  /// centre of this balancer.
  void StartControlLoop(const StateDocument& state);
  void OnState(const StateDocument& state);
  /// Writes the state to the data folder, from where a restart reads it.
  void StoreState(const StateDocument& state);
  void TickLoop();
  /// Leaves the cluster; returns when that is complete or the stop timeout has passed.
  void Leave();

  [[nodiscard]] HttpResponse HandleHttp(const HttpRequest& request);
  [[nodiscard]] HttpResponse Announce(const HttpRequest& request);
  [[nodiscard]] HttpResponse Health() const;
  [[nodiscard]] HttpResponse ListMembers() const;
  [[nodiscard]] HttpResponse Explain(const std::string& query);

  BalancerSettings m_settings;
  KeyRing m_keys;
  std::vector<TargetKey> m_target_keys;
  std::unique_ptr<FileStore> m_files;
  Incarnation m_incarnation;
  StateDocument m_stored_state;
  observe::Metrics m_metrics;
  std::unique_ptr<observe::Tracer> m_tracer;
  std::optional<SecureChannel> m_channel;
  std::unique_ptr<daemon::PeerLinks> m_links;
  std::unique_ptr<daemon::DataPlane> m_data_plane;
  std::unique_ptr<io::HttpServer> m_server;
  std::unique_ptr<daemon::StateFollower> m_follower;
  std::unique_ptr<daemon::ControlLoop> m_control;
  std::unique_ptr<daemon::RequestDriver> m_requests;
  bool m_stopping = false;
  bool m_leaving = false;
};

}  // namespace fighatch::balancer

#endif  // FIGHATCH_PROGRAMS_BALANCER_BALANCER_H_
