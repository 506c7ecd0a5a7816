#include "control/log_replica.h"

#include <glog/logging.h>

#include <sstream>

#include "daemon/random_bits.h"

namespace fighatch::daemon {
namespace {

using std::chrono::steady_clock;

// A snapshot is also taken once the payloads applied since the last one reach this size, whatever their number.
constexpr std::size_t kSnapshotLogBytes = 8 << 20;
// Limit on the proposals that wait for a majority.
constexpr std::size_t kMaxPending = 4096;
// Limit on the inputs that wait while the disk has no room; later ones are dropped, since the senders repeat them.
constexpr std::size_t kMaxInputs = 8192;

}  // namespace

LogReplica::LogReplica(const LogReplicaOptions& options, LogStorage* storage, StoredLog stored,
                       ReplicatedStateMachine* machine, MessageTransport* transport)
    : m_options(options),
      m_state_machine(machine),
      m_transport(transport),
      m_writer(storage),
      m_node(options.m_raft, stored, Now(), Random(RandomBits())) {
  if (stored.m_snapshot) Restore(*stored.m_snapshot);
}

LogReplica::~LogReplica() { Stop(); }

void LogReplica::Start(ChangeObserver observer) {
  m_observer = std::move(observer);
  m_transport->Start([this](const std::vector<std::byte>& bytes) { ReceiveMessage(bytes); });
  m_writer.Start([this] { m_input_added.notify_one(); });
  m_fiber = boost::fibers::fiber([this] { Loop(); });
}

void LogReplica::Stop() {
  m_stopping = true;
  m_input_added.notify_all();
  if (m_fiber.joinable()) m_fiber.join();
  m_writer.Stop();
  m_transport->Stop();
}

void LogReplica::Enqueue(Input input) {
  if (m_inputs.size() >= kMaxInputs) return;
  m_inputs.push_back(std::move(input));
  m_input_added.notify_one();
}

void LogReplica::SetJoinRequestHosts(std::set<HostId> hosts) {
  Enqueue([this, recipients = std::move(hosts)](TimePoint /*now*/) { m_node.SetJoinRequestHosts(recipients); });
}

void LogReplica::ReceiveMessage(const std::vector<std::byte>& bytes) {
  Result<RaftMessage> message = DecodeRaftMessage(bytes);
  if (!IsOk(message)) {
    LOG(WARNING) << "event=message_refused " << ToString(ErrorOf(message));
    return;
  }
  Enqueue([this, received = std::move(ValueOf(message))](TimePoint now) { m_node.Receive(now, received); });
}

void LogReplica::Loop() {
  Replay();
  while (!m_stopping) {
    WaitForInput();
    if (m_stopping) return;
    if (m_writer.TakeWritten()) m_node.OnPersisted(Now());
    while (!m_inputs.empty()) {
      const Input input = std::move(m_inputs.front());
      m_inputs.pop_front();
      input(Now());
    }
    if (Now() >= m_node.NextDeadline()) m_node.Tick(Now());
    Step();
  }
}

void LogReplica::Replay() {
  const RaftOutput output = m_node.TakeOutput();
  if (output.m_committed.empty()) return;
  std::vector<LogEntry> payloads;
  for (const LogEntry& entry : output.m_committed) {
    if (entry.m_kind == EntryKind::kPayload) payloads.push_back(entry);
    m_bytes_since_snapshot += entry.m_payload.size();
  }
  m_state_machine->Replay(payloads);
  m_applied = output.m_committed.back().m_index;
  if (m_observer) m_observer();
}

void LogReplica::WaitForInput() {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_input_added.wait(lock, [this] { return !m_writer.IsFull() || m_stopping; });
  if (!m_inputs.empty() || m_writer.HasWritten() || m_stopping) return;
  m_input_added.wait_until(lock, steady_clock::now() + (m_node.NextDeadline() - Now()));
}

void LogReplica::Step() {
  RaftOutput output = m_node.TakeOutput();
  if (output.HasDataToPersist()) {
    m_writer.WriteOutput({output.m_vote, output.m_snapshot, std::move(output.m_entries), {}, {}, {}, {}});
  }
  for (const RaftMessage& message : output.m_messages) {
    m_transport->Send(message.m_to.m_host, EncodeRaftMessage(message));
  }
  if (output.m_snapshot) Restore(*output.m_snapshot);
  for (const LogEntry& entry : output.m_committed) Apply(entry);
  MaybeCompact();
  LogRoleChange();
  LogMembershipChange();
  LogRefusedJoins(output);
  m_step_completed.notify_all();
  if (m_observer && (output.m_snapshot || !output.m_committed.empty())) m_observer();
}

void LogReplica::Restore(const RaftSnapshot& snapshot) {
  const Status status = m_state_machine->Restore(std::as_bytes(std::span(snapshot.m_data)));
  if (!IsOk(status)) {
    // The checksum is valid, so another release wrote the snapshot in a format that this one cannot read.
    LOG(ERROR) << "event=snapshot_refused next=\"run the newer release\"";
    LogWriter::ExitOnError(ErrorOf(status));
  }
  m_applied = snapshot.m_index;
  m_snapshot_index = snapshot.m_index;
  m_bytes_since_snapshot = 0;
  // The snapshot does not tell which entries led to it, so these proposals may or may not be among them.
  while (!m_pending.empty() && m_pending.begin()->first.first <= snapshot.m_index) {
    m_pending.begin()->second->m_result = MakeError(
        ErrorCode::kTicketOutcomeUnknown, "a snapshot covers the proposal; send it again to learn the outcome");
    m_pending.erase(m_pending.begin());
  }
  LOG(INFO) << "event=snapshot_restored index=" << snapshot.m_index << " bytes=" << snapshot.m_data.size();
}

void LogReplica::Apply(const LogEntry& entry) {
  m_applied = entry.m_index;
  m_bytes_since_snapshot += entry.m_payload.size();
  std::any result;
  if (entry.m_kind == EntryKind::kPayload) result = m_state_machine->Apply(entry);
  CompletePending(entry, result);
}

void LogReplica::CompletePending(const LogEntry& entry, const std::any& result) {
  while (!m_pending.empty() && m_pending.begin()->first.first <= entry.m_index) {
    const auto& [id, pending] = *m_pending.begin();
    if (id == ProposalId(entry.m_index, entry.m_term)) {
      pending->m_result = result;
    } else {
      // An entry of another leader replaced the proposal in the log, so it cannot be accepted any more.
      pending->m_result =
          MakeError(ErrorCode::kTicketNoQuorum, "the leader changed before the proposal was accepted; send it again");
    }
    m_pending.erase(m_pending.begin());
  }
}

void LogReplica::MaybeCompact() {
  const bool many_entries = m_applied >= m_snapshot_index + m_options.m_snapshot_entries;
  if (!many_entries && m_bytes_since_snapshot < kSnapshotLogBytes) return;
  // A slow disk gets no further snapshot before it has the last one.
  if (m_writer.IsSavingSnapshot()) return;
  const auto [snapshot, keep_from] = m_node.Compact(m_applied, m_state_machine->EncodeSnapshot());
  if (!snapshot) return;
  m_snapshot_index = m_applied;
  m_bytes_since_snapshot = 0;
  m_writer.SaveSnapshot(snapshot, keep_from);
}

void LogReplica::LogRoleChange() {
  if (m_node.Role() == m_logged_role && m_node.CurrentTerm() == m_logged_term) return;
  m_logged_role = m_node.Role();
  m_logged_term = m_node.CurrentTerm();
  LOG(INFO) << "event=role role=" << RaftRoleName(m_logged_role) << " term=" << m_logged_term
            << " host=" << m_node.Self().m_host.m_value << " members=" << m_node.Configuration().m_members.size()
            << " voters=" << m_node.Configuration().VoterCount();
}

void LogReplica::LogMembershipChange() {
  const RaftConfiguration& configuration = m_node.Configuration();
  if (configuration == m_logged_configuration) return;
  m_logged_configuration = configuration;
  m_logged_refusals.clear();
  std::ostringstream list;
  for (const RaftMember& member : configuration.m_members) {
    list << (list.tellp() > 0 ? "," : "") << member.m_peer.m_host.m_value << ":" << member.m_peer.m_disk.m_value
         << (member.m_voter ? ":voter" : ":learner");
    if (const std::optional<Duration> silence = m_node.SilenceOf(member.m_peer)) {
      list << ":" << std::chrono::duration_cast<std::chrono::milliseconds>(*silence).count() << "ms";
    }
  }
  LOG(INFO) << "event=members term=" << m_node.CurrentTerm() << " last=" << m_node.Log().LastIndex()
            << " voters=" << configuration.VoterCount() << " list=" << list.str();
}

void LogReplica::LogRefusedJoins(const RaftOutput& output) {
  for (const auto& [peer, reason] : output.m_refused_joins) {
    const auto [known, is_new] = m_logged_refusals.try_emplace(peer.m_host, reason);
    if (!is_new && known->second == reason) continue;
    known->second = reason;
    LOG(INFO) << "event=join_refused host=" << peer.m_host.m_value << " disk=" << peer.m_disk.m_value
              << " reason=" << JoinRefusalName(reason);
  }
}

Error LogReplica::NotLeaderError() const {
  const std::optional<RaftPeer> leader = m_node.Leader();
  if (!leader) return MakeError(ErrorCode::kTicketNoQuorum, "this host knows no leader");
  if (*leader == m_node.Self())
    return MakeError(ErrorCode::kTicketNoQuorum, "this host is handing over its leadership");
  return MakeError(ErrorCode::kTicketNotLeader, "host " + std::to_string(leader->m_host.m_value) + " is the leader");
}

void LogReplica::Propose(std::string payload, const std::shared_ptr<PendingProposal>& pending, TimePoint now) {
  if (m_pending.size() >= kMaxPending) {
    pending->m_result = MakeError(ErrorCode::kTicketNoQuorum, "too many proposals are pending");
    return;
  }
  const Result<ProposalId> proposed = m_node.Propose(now, std::move(payload));
  if (IsOk(proposed)) {
    m_pending[ValueOf(proposed)] = pending;
  } else {
    const bool is_not_leader = ErrorOf(proposed).m_code == ErrorCode::kTicketNotLeader;
    pending->m_result = is_not_leader ? NotLeaderError() : ErrorOf(proposed);
  }
}

Result<std::any> LogReplica::Submit(std::string payload) {
  const auto pending = std::make_shared<PendingProposal>();
  Enqueue([this, pending, proposed = std::move(payload)](TimePoint now) { Propose(proposed, pending, now); });
  const auto deadline = steady_clock::now() + m_options.m_submit_timeout;
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_step_completed.wait_until(lock, deadline, [&pending] { return pending->m_result.has_value(); });
  if (!pending->m_result) return MakeError(ErrorCode::kTicketOutcomeUnknown, "send it again to learn the outcome");
  return *pending->m_result;
}

bool LogReplica::ConfirmsReads() const { return m_node.HasLease(Now()) && m_applied == m_node.CommitIndex(); }

void LogReplica::AnnounceStop(io::Deadline deadline) {
  const bool was_leader = m_node.Role() == RaftRole::kLeader;
  Enqueue([this](TimePoint now) { m_node.AnnounceStop(now); });
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  const bool announced = m_step_completed.wait_until(lock, deadline, [this, was_leader] {
    if (!m_inputs.empty()) return false;
    const bool has_transferred = m_node.Role() != RaftRole::kLeader && m_node.Leader().has_value();
    return !was_leader || has_transferred || m_node.Configuration().VoterCount() == 1;
  });
  LOG(INFO) << "event=stop_announced was_leader=" << was_leader << " done=" << announced;
}

}  // namespace fighatch::daemon
