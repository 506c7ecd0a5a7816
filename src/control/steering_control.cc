#include "control/steering_control.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <sstream>
#include <utility>

#include "daemon/clock.h"
#include "daemon/metrics_server.h"
#include "daemon/random_bits.h"
#include "fighatch/host_address.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// How long an announcement waits until a majority has confirmed the target's state.
constexpr milliseconds kConfirmationTimeout{700};
static_assert(kConfirmationTimeout < kTargetCallTimeout, "targets must get the answer before they give up");
constexpr milliseconds kTransferTimeout{1000};
// A target counts as silent after this many announcement periods, plus the slack, without an announcement.
constexpr int kMissedAnnouncements = 3;
constexpr milliseconds kAnnouncementSlack{600};
constexpr std::size_t kMaxControlHosts = 35;
// Room for the head of a request and for documents slightly above the limit, which get an error that names it.
constexpr std::size_t kMaxHttpRequestBytes = kMaxDocumentBytes + (64 << 10);
static_assert(kMaxDocumentBytes + 1024 <= kMaxEntryPayloadBytes, "a document must fit into a log entry");
static_assert(kMaxEntryPayloadBytes + 1024 <= io::PlainMessageSocket::kMaxPayloadBytes,
              "a log entry must fit into a message");
// Entries between snapshots. It bounds the number of documents that a host replays when it starts.
constexpr std::uint64_t kSnapshotEntries = 32;

DirectoryOptions MakeDirectoryOptions(const config::SteeringControlSettings& settings) {
  DirectoryOptions options;
  options.m_silent_after = settings.m_announcement_period * kMissedAnnouncements + kAnnouncementSlack;
  return options;
}

SyncClientOptions MakeSyncOptions(const config::SteeringControlSettings& settings) {
  SyncClientOptions options;
  options.m_self = settings.m_discovery.Self();
  options.m_role = SyncRole::kControl;
  options.m_data_centre = settings.m_discovery.m_data_centre;
  options.m_polled_control_hosts = kMaxControlHosts;
  return options;
}

LogReplicaOptions MakeLogOptions(const config::SteeringControlSettings& settings) {
  LogReplicaOptions options;
  options.m_raft.m_heartbeat = settings.m_heartbeat;
  options.m_raft.m_election_timeout = settings.m_election_timeout;
  options.m_raft.m_open_admission = true;
  options.m_raft.m_replace_silent_after = settings.m_replace_silent_after;
  options.m_raft.m_tolerated_lost_disks = settings.m_tolerated_lost_disks;
  options.m_raft.m_hosts = settings.m_discovery.SeedHosts();
  options.m_submit_timeout = settings.m_command_timeout;
  options.m_snapshot_entries = kSnapshotEntries;
  return options;
}

Status OutdatedWithdrawal() {
  return MakeError(ErrorCode::kAnnouncementOutdated, "the call may come from an earlier start of the target");
}

}  // namespace

std::any RoutingStateMachine::Apply(const LogEntry& entry) {
  const Result<RoutingCommand> command = DecodeRoutingCommand(entry.m_payload);
  const Result<bool> applied = IsOk(command) ? m_routing_log.Apply(entry.m_index, ValueOf(command)) : ErrorOf(command);
  if (IsOk(applied)) {
    LOG(INFO) << "event=order_applied index=" << entry.m_index << " term=" << entry.m_term
              << " changed=" << ValueOf(applied) << PublishedFields();
  } else {
    LOG(ERROR) << "event=order_refused index=" << entry.m_index << " " << ToString(ErrorOf(applied));
  }
  return applied;
}

void RoutingStateMachine::Replay(const std::vector<LogEntry>& entries) {
  std::vector<std::pair<LogIndex, RoutingCommand>> commands;
  for (const LogEntry& entry : entries) {
    Result<RoutingCommand> command = DecodeRoutingCommand(entry.m_payload);
    if (IsOk(command)) {
      commands.emplace_back(entry.m_index, std::move(ValueOf(command)));
    } else {
      LOG(ERROR) << "event=order_refused index=" << entry.m_index << " " << ToString(ErrorOf(command));
    }
  }
  for (const auto& [index, error] : m_routing_log.Replay(commands)) {
    LOG(ERROR) << "event=order_refused index=" << index << " " << ToString(error);
  }
  LOG(INFO) << "event=orders_replayed entries=" << entries.size() << PublishedFields();
}

std::string RoutingStateMachine::PublishedFields() const {
  const PublishedState& published = *m_routing_log.Published();
  std::ostringstream fields;
  fields << " state=" << published.m_index << " digest=" << std::hex << published.m_digest << std::dec
         << " version=" << published.m_routing.m_version << " data_centres_out=" << published.m_data_centres_out.size();
  return fields.str();
}

SteeringControl::SteeringControl(config::SteeringControlSettings settings, std::string settings_path,
                                 const DocumentReader* reader)
    : m_settings(std::move(settings)),
      m_reader(reader),
      m_state_machine(reader),
      m_target_directory(MakeDirectoryOptions(m_settings)),
      m_sync_server(m_settings.m_discovery.Self(), RandomBits(), &m_target_directory, &m_state_machine.Log()),
      m_sync_client(MakeSyncOptions(m_settings)),
      m_target_monitor(m_settings.m_discovery.Self(), &m_target_directory, &m_sync_server),
      m_seed_reload(std::move(settings_path), config::ParseSteeringControlSettings, &m_settings.m_discovery,
                    &m_sync_client),
      m_file_store(m_settings.m_data_folder),
      m_target_cache(&m_file_store),
      m_commit_mark(&m_file_store),
      m_log_line_budget(m_settings.m_discovery.m_log_lines_per_second) {}

Status SteeringControl::Open(io::HttpHandler handler) {
  m_http_handler = std::move(handler);
  const config::DiscoverySettings& discovery = m_settings.m_discovery;
  Result<io::PlainMessageSocket> messages =
      io::PlainMessageSocket::Bind({discovery.m_address, discovery.m_control_message_port});
  if (!IsOk(messages)) return ErrorOf(messages);
  m_message_socket.emplace(std::move(ValueOf(messages)));
  Status storage = OpenStorage();
  m_has_damaged_storage = !IsOk(storage) && ErrorOf(storage).m_code == ErrorCode::kStorageCorrupt;
  if (m_has_damaged_storage) return OkStatus();
  return IsOk(storage) ? OpenServices() : storage;
}

Status SteeringControl::OpenServices() {
  UpdateServices();
  LoadTargets();
  MessageTransport* transport = this;
  m_log_replica =
      std::make_unique<LogReplica>(MakeLogOptions(m_settings), m_storage.get(), LoadLog(), &m_state_machine, transport);
  return OpenServers();
}

Status SteeringControl::OpenServers() {
  io::HttpServerOptions options;
  options.m_max_request_bytes = kMaxHttpRequestBytes;
  auto http = io::HttpServer::Create(m_settings.m_http_endpoint, m_http_handler, options);
  if (!IsOk(http)) return ErrorOf(http);
  m_http_server = std::move(ValueOf(http));
  AddMetrics();
  auto metrics = CreateMetricsServer(m_settings.m_discovery, &m_metrics);
  if (!IsOk(metrics)) return ErrorOf(metrics);
  m_metrics_server = std::move(ValueOf(metrics));
  return OkStatus();
}

void SteeringControl::UpdateServices() {
  const std::shared_ptr<const PublishedState>& published = m_state_machine.Log().Published();
  m_target_directory.SetServices(ServiceNames(published->m_routing));
}

Status SteeringControl::Run(StopSignal* stop) {
  if (m_has_damaged_storage) {
    if (!AwaitMajority(stop)) return OkStatus();
    Status replaced = ReplaceDamagedStorage();
    if (!IsOk(replaced)) return replaced;
  }
  const config::DiscoverySettings& discovery = m_settings.m_discovery;
  LOG(INFO) << "event=started address=" << ToString(discovery.m_address) << " data_centre=" << discovery.m_data_centre
            << " disk=" << m_log_replica->Node().Self().m_disk.m_value
            << " commit=" << m_log_replica->Node().CommitIndex() << " last=" << m_log_replica->Node().Log().LastIndex()
            << " seeds=" << discovery.m_seeds.size() << " tolerated_lost_disks=" << m_settings.m_tolerated_lost_disks;
  LOG(WARNING) << "event=unsealed_messages meaning=\"messages between hosts carry no key, as the settings say\"";
  m_log_replica->Start([this] {
    UpdateServices();
    RequestPush();
  });
  std::vector<boost::fibers::fiber> fibers;
  fibers.emplace_back([this] { ServeMessages(); });
  fibers.emplace_back([this] { PollOtherControlHosts(); });
  fibers.emplace_back([this] { SaveRestartState(); });
  fibers.emplace_back([this] { ServePushes(); });
  fibers.emplace_back([this] { m_http_server->Serve(); });
  if (m_metrics_server) fibers.emplace_back([this] { m_metrics_server->Serve(); });
  while (!stop->Wait(io::kNoDeadline)) {
    if (stop->TakeReloadRequest()) m_seed_reload.Reload("signal");
  }
  LOG(INFO) << "event=stopping role=" << RaftRoleName(m_log_replica->Node().Role());
  m_log_replica->AnnounceStop(steady_clock::now() + kTransferTimeout);
  m_done = true;
  m_http_server->Stop();
  if (m_metrics_server) m_metrics_server->Stop();
  for (boost::fibers::fiber& fiber : fibers) fiber.join();
  m_log_replica->Stop();
  LOG(INFO) << "event=stopped orders=" << m_counters.m_commands << " announcements=" << m_counters.m_announcements;
  return OkStatus();
}

Status SteeringControl::SubmitCommand(const RoutingCommand& command) {
  ++m_counters.m_commands;
  const auto started = steady_clock::now();
  const Result<std::any> submitted = m_log_replica->Submit(EncodeRoutingCommand(command));
  m_command_latency.Add(steady_clock::now() - started);
  if (!IsOk(submitted)) {
    ++m_counters.m_commands_refused;
    return ErrorOf(submitted);
  }
  const auto applied = std::any_cast<Result<bool>>(ValueOf(submitted));
  return IsOk(applied) ? OkStatus() : Status(ErrorOf(applied));
}

Status SteeringControl::SubmitDocument(const std::string& text) {
  if (text.size() > kMaxDocumentBytes) {
    LOG(INFO) << "event=document_refused bytes=" << text.size() << " limit=" << kMaxDocumentBytes;
    return MakeError(ErrorCode::kTicketTooLarge,
                     std::to_string(text.size()) + " bytes; the limit is " + std::to_string(kMaxDocumentBytes));
  }
  const Result<RoutingState> routing = m_reader->Read(text);
  if (!IsOk(routing)) {
    LOG(INFO) << "event=document_refused " << ToString(ErrorOf(routing));
    return ErrorOf(routing);
  }
  const std::uint64_t version = ValueOf(routing).m_version;
  Status status = SubmitCommand(DocumentCommand{version, text});
  LOG(INFO) << "event=document_submitted version=" << version << " bytes=" << text.size()
            << " outcome=" << (IsOk(status) ? "accepted" : ErrorName(ErrorOf(status).m_code))
            << " in_force=" << m_state_machine.Log().Published()->m_routing.m_version;
  return status;
}

Status SteeringControl::SetDataCentreEvacuated(const std::string& name, bool evacuated) {
  Status status = SubmitCommand(DataCentreCommand{name, evacuated});
  LOG(INFO) << "event=data_centre_ordered name=" << name << " out=" << evacuated
            << " outcome=" << (IsOk(status) ? "accepted" : ErrorName(ErrorOf(status).m_code));
  return status;
}

Result<std::string> SteeringControl::ReadDocument() {
  if (m_log_replica->ConfirmsReads()) return m_state_machine.Log().Document();
  const bool leader_known = RemoteLeaderEndpoint().has_value();
  return MakeError(leader_known ? ErrorCode::kTicketNotLeader : ErrorCode::kTicketNoQuorum,
                   "this host cannot confirm that its document is the newest");
}

std::optional<Endpoint> SteeringControl::RemoteLeaderEndpoint() const {
  const std::optional<RaftPeer> leader = m_log_replica->Node().Leader();
  if (!leader || leader->m_host == m_settings.m_discovery.Self()) return std::nullopt;
  return EndpointOf(leader->m_host, m_settings.m_http_endpoint.m_port);
}

Status SteeringControl::Announce(const AnnouncedTarget& record, Duration max_age) {
  ++m_counters.m_announcements;
  const AnnounceOutcome outcome = m_target_directory.Announce(Now(), record, max_age);
  if (outcome == AnnounceOutcome::kChanged) RequestPush();
  if (outcome == AnnounceOutcome::kStale) RecordIgnored(record);
  Status status = AwaitConfirmation(record.m_id, record.m_state != RecordState::kReady);
  if (!IsOk(status)) ++m_counters.m_announcements_refused;
  if ((outcome == AnnounceOutcome::kChanged || !IsOk(status)) && m_log_line_budget.Allow()) {
    LOG(INFO) << "event=target_announced target=" << std::hex << record.m_id.m_value << std::dec
              << " state=" << RecordStateName(record.m_state) << " service=" << record.m_service
              << " endpoint=" << ToString(record.m_endpoint) << " born=" << record.m_start_unix_ms
              << " sequence=" << record.m_sequence << " cold_left_ms=" << record.m_cold_left_ms
              << " outcome=" << (IsOk(status) ? "confirmed" : ErrorName(ErrorOf(status).m_code))
              << " suppressed=" << m_log_line_budget.TakeSuppressed();
  }
  return status;
}

void SteeringControl::RecordIgnored(const AnnouncedTarget& record) {
  ++m_counters.m_announcements_ignored;
  const AnnouncedTarget* known = m_target_directory.Find(record.m_id);
  const bool is_late = known != nullptr && !HasEnded(known->m_state) && known->m_sequence >= record.m_sequence;
  if (is_late || !m_log_line_budget.Allow()) return;
  LOG(WARNING) << "event=announcement_ignored target=" << std::hex << record.m_id.m_value << std::dec
               << " endpoint=" << ToString(record.m_endpoint) << " born=" << record.m_start_unix_ms
               << " sequence=" << record.m_sequence
               << " known_state=" << (known == nullptr ? "none" : RecordStateName(known->m_state))
               << " known_born=" << (known == nullptr ? 0 : known->m_start_unix_ms)
               << " suppressed=" << m_log_line_budget.TakeSuppressed()
               << " meaning=\"the announcement changes nothing; if the target runs, it gets no flows\"";
}

Status SteeringControl::Withdraw(TargetId id, std::optional<std::uint64_t> start_unix_ms, Duration max_age) {
  ++m_counters.m_announcements;
  const AnnounceOutcome outcome = m_target_directory.Withdraw(Now(), id, start_unix_ms, max_age);
  if (outcome == AnnounceOutcome::kChanged) RequestPush();
  Status status = outcome == AnnounceOutcome::kOutdated ? OutdatedWithdrawal() : AwaitConfirmation(id, true);
  // While this host waited it may have learned of a later start, which may be the caller.
  if (IsOk(status) && !m_target_directory.IsWithdrawn(id, start_unix_ms)) status = OutdatedWithdrawal();
  if (!IsOk(status) && ErrorOf(status).m_code == ErrorCode::kAnnouncementOutdated) ++m_counters.m_withdrawals_outdated;
  const AnnouncedTarget* latest = m_target_directory.Find(id);
  LOG(INFO) << "event=target_withdrawn target=" << std::hex << id.m_value << std::dec
            << " born=" << (latest == nullptr ? 0 : latest->m_start_unix_ms)
            << " state=" << (latest == nullptr ? "none" : RecordStateName(latest->m_state))
            << " changed=" << (outcome == AnnounceOutcome::kChanged)
            << " max_age_ms=" << std::chrono::duration_cast<milliseconds>(max_age).count()
            << " outcome=" << (IsOk(status) ? "confirmed" : ErrorName(ErrorOf(status).m_code));
  return status;
}

Status SteeringControl::AwaitConfirmation(TargetId id, bool synced) {
  // Mere refreshes must reach a majority, too: the others would declare the target silent otherwise.
  const std::uint64_t sequence = m_target_directory.SequenceOf(id);
  const auto deadline = steady_clock::now() + kConfirmationTimeout;
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  const std::uint64_t change = m_target_directory.LastChange();
  const bool confirmed = m_confirmed.wait_until(lock, deadline, [&] {
    const bool is_saved = !synced || m_saved_change >= change || !m_targets_are_saved;
    return is_saved && m_target_monitor.IsConfirmed(Now(), sequence);
  });
  m_confirmation_latency.Add(steady_clock::now() - (deadline - kConfirmationTimeout));
  return confirmed ? OkStatus()
                   : Status(MakeError(ErrorCode::kTicketNoQuorum,
                                      "no majority of the control hosts confirmed the target in time"));
}

}  // namespace fighatch::daemon
