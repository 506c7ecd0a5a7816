#include "daemon/control_replica.h"

#include <glog/logging.h>
#include <sodium.h>
#include <unistd.h>

#include <boost/fiber/operations.hpp>

#include "wire/codec.h"

namespace fighatch::daemon {
namespace {

using std::chrono::steady_clock;

// A snapshot is taken after this much of the log, whatever the number of entries.
constexpr std::size_t kSnapshotLogBytes = 8 << 20;
// Tickets that may wait for a majority at a time.
constexpr std::size_t kMaxPendingTickets = 4096;
constexpr int kStorageExitCode = 4;

RaftOptions MakeOptions(const config::ControlSettings& settings) {
  RaftOptions options;
  options.m_heartbeat = settings.m_heartbeat;
  options.m_election_timeout = settings.m_election_timeout;
  for (const config::ControlPeer& peer : settings.m_control_hosts) options.m_hosts.insert(peer.m_host);
  return options;
}

Random MakeRandom() {
  std::uint64_t seed = 0;
  randombytes_buf(&seed, sizeof(seed));
  return Random(seed);
}

std::string ToText(const std::vector<std::byte>& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

steady_clock::time_point ToSteady(TimePoint time) { return steady_clock::time_point(time.time_since_epoch()); }

bool IsEmpty(const RaftOutput& output) { return !output.m_vote && !output.m_snapshot && output.m_entries.empty(); }

}  // namespace

ControlReplica::ControlReplica(const config::ControlSettings& settings, LogStorage* storage, StoredLog stored,
                               MessageTransport* transport)
    : m_settings(settings),
      m_storage(storage),
      m_transport(transport),
      m_node(MakeOptions(settings), stored, Now(), MakeRandom()) {
  if (stored.m_snapshot) Restore(*stored.m_snapshot);
}

ControlReplica::~ControlReplica() { Stop(); }

TimePoint ControlReplica::Now() { return TimePoint(steady_clock::now().time_since_epoch()); }

void ControlReplica::Start() {
  m_transport->Start([this](const std::vector<std::byte>& bytes) { ReceiveMessage(bytes); });
  m_fiber = boost::fibers::fiber([this] { Loop(); });
}

void ControlReplica::Stop() {
  m_stopping = true;
  m_input_added.notify_all();
  if (m_fiber.joinable()) m_fiber.join();
  m_transport->Stop();
}

void ControlReplica::Add(Input input) {
  m_inputs.push_back(std::move(input));
  m_input_added.notify_one();
}

void ControlReplica::ReceiveMessage(const std::vector<std::byte>& bytes) {
  Result<RaftMessage> message = DecodeRaftMessage(bytes);
  if (!IsOk(message)) {
    LOG(WARNING) << "event=message_refused " << ToString(ErrorOf(message));
    return;
  }
  Add([this, received = std::move(ValueOf(message))](TimePoint now) { m_node.Receive(now, received); });
}

void ControlReplica::Loop() {
  while (!m_stopping) {
    WaitForInput();
    while (!m_inputs.empty()) {
      const Input input = std::move(m_inputs.front());
      m_inputs.pop_front();
      input(Now());
    }
    if (Now() >= m_node.NextDeadline()) m_node.Tick(Now());
    Step();
  }
}

void ControlReplica::WaitForInput() {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  if (m_inputs.empty() && !m_stopping) m_input_added.wait_until(lock, ToSteady(m_node.NextDeadline()));
}

void ControlReplica::PersistOrExit(const std::function<Status()>& call) {
  const Status status = m_worker.Run(call);
  if (IsOk(status)) return;
  LOG(ERROR) << "event=storage_failed " << ToString(ErrorOf(status)) << " next=\"the process stops\"";
  google::FlushLogFiles(google::INFO);
  _exit(kStorageExitCode);
}

void ControlReplica::Step() {
  const RaftOutput output = m_node.TakeOutput();
  const Version version = m_processor.State().m_version;
  if (!IsEmpty(output)) PersistOrExit([this, &output] { return Persist(output, m_storage); });
  for (const RaftMessage& message : output.m_messages) {
    m_transport->Send(message.m_to.m_host, EncodeRaftMessage(message));
  }
  if (output.m_snapshot) Restore(*output.m_snapshot);
  for (const LogEntry& entry : output.m_committed) Apply(entry);
  MaybeCompact();
  LogRole();
  m_stepped.notify_all();
  if (m_processor.State().m_version != version) m_state_changed.notify_all();
}

void ControlReplica::Restore(const RaftSnapshot& snapshot) {
  const Status status = m_processor.Restore(std::as_bytes(std::span(snapshot.m_data)));
  if (!IsOk(status)) {
    // The checksum was right, so this build cannot read what another one wrote.
    LOG(ERROR) << "event=snapshot_refused " << ToString(ErrorOf(status)) << " next=\"run the newer release\"";
    google::FlushLogFiles(google::INFO);
    _exit(kStorageExitCode);
  }
  m_applied = snapshot.m_index;
  m_snapshot_index = snapshot.m_index;
  m_bytes_since_snapshot = 0;
  LOG(INFO) << "event=snapshot_restored index=" << snapshot.m_index << " bytes=" << snapshot.m_data.size();
}

void ControlReplica::Apply(const LogEntry& entry) {
  m_applied = entry.m_index;
  m_bytes_since_snapshot += entry.m_payload.size();
  TicketAnswer answer;
  if (entry.m_kind == EntryKind::kPayload) {
    const Result<Ticket> ticket = wire::Decode<Ticket>(std::as_bytes(std::span(entry.m_payload)));
    if (IsOk(ticket)) {
      answer = m_processor.Apply(ValueOf(ticket), {entry.m_term, entry.m_index});
      LOG(INFO) << "event=ticket_applied number=" << answer.m_number.m_value
                << " code=" << static_cast<int>(answer.m_code) << " epoch=" << entry.m_term
                << " generation=" << entry.m_index;
    } else {
      answer.m_code = ErrorCode::kTicketMalformed;
      LOG(ERROR) << "event=entry_refused index=" << entry.m_index << " " << ToString(ErrorOf(ticket));
    }
  }
  AnswerPending(entry, answer);
}

void ControlReplica::AnswerPending(const LogEntry& entry, const TicketAnswer& answer) {
  while (!m_pending.empty() && m_pending.begin()->first.first <= entry.m_index) {
    const auto& [id, pending] = *m_pending.begin();
    if (id == ProposalId(entry.m_index, entry.m_term)) {
      pending->m_answer = answer;
    } else {
      // Another leader's entry took the place of the proposal, so it cannot be accepted any more.
      pending->m_answer = TicketAnswer{{}, ErrorCode::kTicketNoQuorum, "the leader changed; resend the ticket", {}, {}};
    }
    m_pending.erase(m_pending.begin());
  }
}

void ControlReplica::MaybeCompact() {
  const bool many_entries = m_applied >= m_snapshot_index + m_settings.m_snapshot_entries;
  if (!many_entries && m_bytes_since_snapshot < kSnapshotLogBytes) return;
  const auto [snapshot, keep_from] = m_node.Compact(m_applied, ToText(m_processor.EncodeSnapshot()));
  if (!snapshot) return;
  m_snapshot_index = m_applied;
  m_bytes_since_snapshot = 0;
  PersistOrExit([&, kept = keep_from, saved = snapshot] { return m_storage->SaveSnapshot(*saved, kept); });
  LOG(INFO) << "event=snapshot_saved index=" << snapshot->m_index << " bytes=" << snapshot->m_data.size();
}

void ControlReplica::LogRole() {
  if (m_node.Role() == m_logged_role && m_node.CurrentTerm() == m_logged_term) return;
  m_logged_role = m_node.Role();
  m_logged_term = m_node.CurrentTerm();
  LOG(INFO) << "event=role role=" << RaftRoleName(m_logged_role) << " term=" << m_logged_term
            << " host=" << m_settings.m_host.m_value;
}

TicketAnswer ControlReplica::NotLeaderAnswer(const Ticket& ticket) const {
  const std::optional<RaftPeer> leader = m_node.Leader();
  const bool is_known = leader && *leader != m_node.Self();
  return {ticket.m_number,
          is_known ? ErrorCode::kTicketNotLeader : ErrorCode::kTicketNoQuorum,
          is_known ? "host " + std::to_string(leader->m_host.m_value) + " is the leader" : "no leader is known here",
          DigestOf(ticket),
          {}};
}

void ControlReplica::Propose(const Ticket& ticket, std::string payload, const std::shared_ptr<Pending>& pending,
                             TimePoint now) {
  if (m_pending.size() >= kMaxPendingTickets) {
    pending->m_answer = {ticket.m_number, ErrorCode::kTicketNoQuorum, "too many tickets wait", {}, {}};
    return;
  }
  const Result<ProposalId> proposed = m_node.Propose(now, std::move(payload));
  if (IsOk(proposed)) {
    m_pending[ValueOf(proposed)] = pending;
  } else {
    pending->m_answer = NotLeaderAnswer(ticket);
  }
}

TicketAnswer ControlReplica::Submit(const Ticket& ticket) {
  if (const std::optional<TicketAnswer> known = m_processor.Find(ticket.m_number, DigestOf(ticket))) return *known;
  std::string payload = ToText(wire::Encode(ticket));
  if (payload.size() > kMaxEncodedTicketBytes) {
    return {ticket.m_number, ErrorCode::kTicketTooLarge, std::to_string(payload.size()) + " bytes encoded", {}, {}};
  }
  const auto pending = std::make_shared<Pending>();
  Add([this, ticket, pending, encoded = std::move(payload)](TimePoint now) { Propose(ticket, encoded, pending, now); });
  const auto deadline = steady_clock::now() + m_settings.m_ticket_timeout;
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_stepped.wait_until(lock, deadline, [&pending] { return pending->m_answer.has_value(); });
  if (!pending->m_answer) {
    return {ticket.m_number, ErrorCode::kTicketOutcomeUnknown, "resend it to learn the outcome", DigestOf(ticket), {}};
  }
  pending->m_answer->m_number = ticket.m_number;
  return *pending->m_answer;
}

void ControlReplica::WaitForNewer(Version version, io::Deadline deadline) {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_state_changed.wait_until(lock, deadline, [this, version] { return m_processor.State().m_version > version; });
}

ReplicaStatus ControlReplica::GetStatus() const {
  ReplicaStatus status;
  status.m_role = RaftRoleName(m_node.Role());
  if (m_node.Leader()) status.m_leader = m_node.Leader()->m_host;
  status.m_term = m_node.CurrentTerm();
  status.m_commit_index = m_node.CommitIndex();
  status.m_applied_index = m_applied;
  status.m_last_index = m_node.Log().LastIndex();
  for (const RaftMember& member : m_node.Configuration().m_members) {
    status.m_members.push_back({member.m_peer.m_host, member.m_peer.m_disk.m_value, member.m_voter});
  }
  return status;
}

bool ControlReplica::ConfirmsReads() const { return m_node.HasLease(Now()) && m_applied == m_node.CommitIndex(); }

void ControlReplica::HandOver(io::Deadline deadline) {
  Add([this](TimePoint now) { m_node.TransferLeadership(now); });
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  const bool done = m_stepped.wait_until(lock, deadline, [this] {
    return m_inputs.empty() && (m_node.Role() != RaftRole::kLeader || m_node.Configuration().VoterCount() == 1);
  });
  LOG(INFO) << "event=leadership_handed_over done=" << (done ? "true" : "false");
}

}  // namespace fighatch::daemon
