#ifndef FIGHATCH_CONTROL_STEERING_CONTROL_H_
#define FIGHATCH_CONTROL_STEERING_CONTROL_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/steering_control_settings.h"
#include "control/control_service.h"
#include "control/log_replica.h"
#include "daemon/blocking_worker.h"
#include "daemon/seed_reload.h"
#include "daemon/stop_signal.h"
#include "fighatch/commit_mark.h"
#include "fighatch/file_log_storage.h"
#include "fighatch/routing_log.h"
#include "fighatch/sync_client.h"
#include "fighatch/sync_server.h"
#include "fighatch/target_cache.h"
#include "fighatch/target_directory.h"
#include "fighatch/target_monitor.h"
#include "io/http_server.h"
#include "io/plain_message_socket.h"
#include "io/posix_directory.h"
#include "io/synced_file_store.h"
#include "observe/latency_histogram.h"
#include "observe/log_rate_limiter.h"
#include "observe/metrics.h"

namespace fighatch::daemon {

/// A `RoutingLog` as the state machine of a `LogReplica`. `Apply` returns the `Result<bool>` of `RoutingLog::Apply`.
class RoutingStateMachine : public ReplicatedStateMachine {
 public:
  explicit RoutingStateMachine(const DocumentReader* reader) : m_routing_log(reader) {}

  std::any Apply(const LogEntry& entry) override;
  void Replay(const std::vector<LogEntry>& entries) override;
  [[nodiscard]] std::string EncodeSnapshot() const override { return m_routing_log.EncodeSnapshot(); }
  [[nodiscard]] Status Restore(std::span<const std::byte> bytes) override { return m_routing_log.Restore(bytes); }

  [[nodiscard]] const RoutingLog& Log() const noexcept { return m_routing_log; }

 private:
  // The published state as fields of a log line.
  [[nodiscard]] std::string PublishedFields() const;

  RoutingLog m_routing_log;
};

/// Counters of a `SteeringControl` since its start, for the metrics. Commands are documents and data centre commands.
struct SteeringControlCounters {
  std::uint64_t m_commands = 0;
  std::uint64_t m_commands_refused = 0;
  std::uint64_t m_announcements = 0;
  std::uint64_t m_announcements_refused = 0;
  std::uint64_t m_announcements_ignored = 0;
  std::uint64_t m_withdrawals_outdated = 0;
};

/// A control host in a deployment whose hosts discover each other from seeds. Documents and data centre commands are
/// replicated by a Raft log; target announcements are merged with those of the other control hosts and confirmed by a
/// majority. The resulting state is distributed to the balancers. All of it runs in fibers of the thread that calls
/// `Run`.
class SteeringControl : public ControlService, private MessageTransport {
 public:
  /// `reader` must outlive the host.
  SteeringControl(config::SteeringControlSettings settings, std::string settings_path, const DocumentReader* reader);

  /// Opens the data folder and the sockets; `handler` answers the HTTP requests. A damaged data folder is no error
  /// here, see `Run`. Errors: those of `FileLogStorage`, `kIoSocket`.
  [[nodiscard]] Status Open(io::HttpHandler handler);

  /// Serves until a signal requests a stop; then transfers leadership and returns. With a damaged data folder it first
  /// waits until another control host is in contact with a majority: only a group that can do without this host may
  /// replace its identity. Errors: those of `Open`, from opening the replaced folder.
  [[nodiscard]] Status Run(StopSignal* stop);

  [[nodiscard]] Status SubmitDocument(const std::string& text) override;
  [[nodiscard]] Result<std::string> ReadDocument() override;
  [[nodiscard]] Status SetDataCentreEvacuated(const std::string& name, bool evacuated) override;
  [[nodiscard]] Status Announce(const AnnouncedTarget& record, Duration max_age) override;
  [[nodiscard]] Status Withdraw(TargetId id, std::optional<std::uint64_t> start_unix_ms, Duration max_age) override;
  [[nodiscard]] std::optional<Endpoint> RemoteLeaderEndpoint() const override;

 private:
  // `MessageTransport` of the log: Raft messages share the socket with the messages to followers.
  void Start(Receiver receive) override { m_raft_receiver = std::move(receive); }
  void Send(HostId to, std::vector<std::byte> message) override;
  void Stop() override {}

  [[nodiscard]] Status OpenStorage();
  [[nodiscard]] Result<std::unique_ptr<FileLogStorage>> OpenOrFormat();
  [[nodiscard]] DiskIdentity NewIdentity() const;
  [[nodiscard]] Status OpenServices();
  [[nodiscard]] Status OpenServers();
  // Exchanges targets with the other control hosts until one of them has a majority; false if a stop was requested.
  [[nodiscard]] bool AwaitMajority(StopSignal* stop);
  // Sets the files of the damaged folder aside and rejoins the group under a new identity.
  [[nodiscard]] Status ReplaceDamagedStorage();
  [[nodiscard]] Status SubmitCommand(const RoutingCommand& command);
  // Counts and logs an announcement that changes nothing: a target whose announcements are ignored gets no flows.
  void RecordIgnored(const AnnouncedTarget& record);
  // Waits until a majority holds the latest record of a target. With `synced` it must also be on this host's disk,
  // unless that fails: a drain or an end must outlast a restart of all control hosts.
  [[nodiscard]] Status AwaitConfirmation(TargetId id, bool synced);
  void ServeMessages();
  void HandleMessage(TimePoint now, const io::PlainMessage& message);
  void HandleRequest(TimePoint now, const SyncRequest& request);
  void HandleReply(TimePoint now, const SyncReply& reply);
  void PollOtherControlHosts();
  // Has the push loop send changes to all followers that lack them.
  void RequestPush();
  void ServePushes();
  void PushChanges();
  // Tells the target directory which services the document in force names.
  void UpdateServices();
  void UpdateControlHosts();
  void UpdateTargets(TimePoint now);
  [[nodiscard]] StoredLog LoadLog();
  void LoadTargets();
  // Loop that saves the targets and the commit mark while the host runs, so that both are known after a restart.
  void SaveRestartState();
  void SaveCommitMark();
  void AddMetrics();
  void SendTo(HostId host, std::uint16_t port, MessageType type, std::span<const std::byte> payload);

  config::SteeringControlSettings m_settings;
  const DocumentReader* m_reader;
  RoutingStateMachine m_state_machine;
  TargetDirectory m_target_directory;
  SyncServer m_sync_server;
  SyncClient m_sync_client;
  TargetMonitor m_target_monitor;
  SeedReload<config::SteeringControlSettings> m_seed_reload;
  io::SyncedFileStore m_file_store;
  TargetCache m_target_cache;
  CommitMark m_commit_mark;
  LogIndex m_saved_commit_index = 0;
  BlockingWorker m_restart_state_worker;
  std::uint64_t m_saved_change = 0;
  // False while the disk takes no target records.
  bool m_targets_are_saved = true;
  std::unique_ptr<io::PosixDirectory> m_data_directory;
  std::unique_ptr<FileLogStorage> m_storage;
  bool m_has_damaged_storage = false;
  std::optional<io::PlainMessageSocket> m_message_socket;
  std::unique_ptr<LogReplica> m_log_replica;
  io::HttpHandler m_http_handler;
  std::unique_ptr<io::HttpServer> m_http_server;
  std::unique_ptr<io::HttpServer> m_metrics_server;
  observe::Metrics m_metrics;
  observe::LogRateLimiter m_log_line_budget;
  SteeringControlCounters m_counters;
  observe::LatencyHistogram m_command_latency;
  observe::LatencyHistogram m_confirmation_latency;
  Receiver m_raft_receiver;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_confirmed;
  boost::fibers::condition_variable m_push_wakeup;
  bool m_push_requested = false;
  bool m_had_majority = false;
  bool m_done = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_STEERING_CONTROL_H_
