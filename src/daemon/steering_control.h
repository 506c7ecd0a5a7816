#ifndef FIGHATCH_DAEMON_STEERING_CONTROL_H_
#define FIGHATCH_DAEMON_STEERING_CONTROL_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/steering_control_settings.h"
#include "daemon/blocking_worker.h"
#include "daemon/control_service.h"
#include "daemon/log_replica.h"
#include "daemon/seed_reload.h"
#include "daemon/stop_signal.h"
#include "fighatch/commit_mark.h"
#include "fighatch/file_log_storage.h"
#include "fighatch/routing_log.h"
#include "fighatch/sync_client.h"
#include "fighatch/sync_server.h"
#include "fighatch/target_cache.h"
#include "fighatch/target_directory.h"
#include "io/http_server.h"
#include "io/plain_message_socket.h"
#include "io/posix_directory.h"
#include "io/synced_file_store.h"
#include "observe/latency_histogram.h"
#include "observe/log_rate_limiter.h"
#include "observe/metrics.h"

namespace fighatch::daemon {

/// The routing log as a replicated state machine; its answers are the `Result<bool>` of `RoutingLog::Apply`.
class RoutingMachine : public LogMachine {
 public:
  explicit RoutingMachine(const DocumentReader* reader) : m_log(reader) {}

  std::any Apply(const LogEntry& entry) override;
  void Replay(const std::vector<LogEntry>& entries) override;
  [[nodiscard]] std::string EncodeSnapshot() const override { return m_log.EncodeSnapshot(); }
  [[nodiscard]] Status Restore(std::span<const std::byte> bytes) override { return m_log.Restore(bytes); }

  [[nodiscard]] const RoutingLog& Log() const noexcept { return m_log; }

 private:
  RoutingLog m_log;
};

/// Counts of a control host.
struct SteeringControlCounters {
  std::uint64_t m_orders = 0;
  std::uint64_t m_orders_refused = 0;
  std::uint64_t m_announcements = 0;
  std::uint64_t m_announcements_refused = 0;
};

/// A control host in a deployment where hosts find each other: accepts documents, orders on data centres and
/// announcements of targets, and tells balancers what they must know. All of it runs in fibers of the thread that
/// calls `Run`.
class SteeringControl : public ControlService, private MessageTransport {
 public:
  /// `reader` must outlive the host.
  SteeringControl(config::SteeringControlSettings settings, std::string settings_path, const DocumentReader* reader);

  /// Opens the data folder and the sockets. Errors: those of `FileLogStorage`, `kIoSocket`.
  [[nodiscard]] Status Open(io::HttpHandler handler);

  /// Serves until a signal asks for a stop.
  void Run(StopSignal* stop);

  [[nodiscard]] Status SubmitDocument(const std::string& text) override;
  [[nodiscard]] Result<std::string> ReadDocument() override;
  [[nodiscard]] Status OrderDataCentre(const std::string& name, bool out) override;
  [[nodiscard]] Status Announce(const AnnouncedTarget& record) override;
  [[nodiscard]] Status Withdraw(TargetId id, std::optional<std::uint64_t> start_unix_ms) override;
  [[nodiscard]] std::optional<Endpoint> OtherLeader() const override;

 private:
  // MessageTransport: the log's messages share the socket with those to followers.
  void Start(Receiver receive) override { m_log_receiver = std::move(receive); }
  void Send(HostId to, std::vector<std::byte> message) override;
  void Stop() override {}

  [[nodiscard]] Status OpenStorage();
  [[nodiscard]] DiskIdentity NewIdentity() const;
  [[nodiscard]] Status OpenLog();
  [[nodiscard]] Status OpenServers(io::HttpHandler handler);
  [[nodiscard]] Status SubmitOrder(const RoutingCommand& order);
  [[nodiscard]] Status AwaitConfirmation(TargetId id);
  [[nodiscard]] bool IsConfirmed(std::uint64_t sequence) const;
  void ServeMessages();
  void HandleMessage(TimePoint now, const io::PlainMessage& message);
  void HandleRequest(TimePoint now, const SyncRequest& request);
  void HandleReply(TimePoint now, const SyncReply& reply);
  void FollowOthers();
  void PushChanges();
  void NoteMembers();
  void ExpireTargets(TimePoint now);
  [[nodiscard]] StoredLog LoadLog();
  void LoadTargets();
  // Saves targets and the commit mark while the host runs.
  void SaveRestartState();
  void SaveCommitMark();
  void AddMetrics();
  void SendTo(HostId host, std::uint16_t port, MessageType type, std::span<const std::byte> payload);

  config::SteeringControlSettings m_settings;
  const DocumentReader* m_reader;
  RoutingMachine m_machine;
  TargetDirectory m_directory;
  SyncServer m_server;
  SyncClient m_client;
  SeedReload<config::SteeringControlSettings> m_seeds;
  io::SyncedFileStore m_files;
  TargetCache m_cache;
  CommitMark m_commit_mark;
  LogIndex m_marked_commit = 0;
  BlockingWorker m_cache_worker;
  std::uint64_t m_cached_change = 0;
  std::unique_ptr<io::PosixDirectory> m_folder;
  std::unique_ptr<FileLogStorage> m_storage;
  std::optional<io::PlainMessageSocket> m_messages;
  std::unique_ptr<LogReplica> m_log;
  std::unique_ptr<io::HttpServer> m_http;
  std::unique_ptr<io::HttpServer> m_metrics_server;
  observe::Metrics m_metrics;
  observe::LogRateLimiter m_lines;
  SteeringControlCounters m_counters;
  observe::LatencyHistogram m_order_latency;
  observe::LatencyHistogram m_confirmation_latency;
  Receiver m_log_receiver;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_confirmed;
  bool m_was_in_contact = false;
  bool m_done = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_STEERING_CONTROL_H_
