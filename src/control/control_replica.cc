#include "control/control_replica.h"

#include <glog/logging.h>

#include "wire/codec.h"

namespace fighatch::daemon {
namespace {

LogReplicaOptions MakeOptions(const config::ControlSettings& settings) {
  LogReplicaOptions options;
  options.m_raft.m_heartbeat = settings.m_heartbeat;
  options.m_raft.m_election_timeout = settings.m_election_timeout;
  for (const config::ControlPeer& peer : settings.m_control_hosts) options.m_raft.m_hosts.insert(peer.m_host);
  options.m_submit_timeout = settings.m_ticket_timeout;
  options.m_snapshot_entries = settings.m_snapshot_entries;
  return options;
}

std::string ToText(const std::vector<std::byte>& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

std::any TicketStateMachine::Apply(const LogEntry& entry) {
  const Result<Ticket> ticket = wire::Decode<Ticket>(std::as_bytes(std::span(entry.m_payload)));
  if (!IsOk(ticket)) {
    LOG(ERROR) << "event=entry_refused index=" << entry.m_index << " " << ToString(ErrorOf(ticket));
    return TicketAnswer{{}, ErrorCode::kTicketMalformed, {}, {}, {}};
  }
  TicketAnswer answer = m_processor.Apply(ValueOf(ticket), {entry.m_term, entry.m_index});
  LOG(INFO) << "event=ticket_applied number=" << answer.m_number.m_value << " code=" << static_cast<int>(answer.m_code)
            << " epoch=" << entry.m_term << " generation=" << entry.m_index;
  return answer;
}

std::string TicketStateMachine::EncodeSnapshot() const { return ToText(m_processor.EncodeSnapshot()); }

ControlReplica::ControlReplica(const config::ControlSettings& settings, LogStorage* storage, StoredLog stored,
                               MessageTransport* transport)
    : m_log(MakeOptions(settings), storage, std::move(stored), &m_state_machine, transport) {}

void ControlReplica::Start() {
  m_notified_version = Processor().State().m_version;
  m_log.Start([this] {
    if (Processor().State().m_version == m_notified_version) return;
    m_notified_version = Processor().State().m_version;
    m_state_changed.notify_all();
  });
}

TicketAnswer ControlReplica::Submit(const Ticket& ticket) {
  if (const std::optional<TicketAnswer> known = Processor().Find(ticket.m_number, DigestOf(ticket))) return *known;
  std::string payload = ToText(wire::Encode(ticket));
  const Error size_error = CheckEncodedTicketSize(payload.size());
  if (size_error.m_code != ErrorCode::kOk) {
    return {ticket.m_number, size_error.m_code, size_error.m_detail, {}, {}};
  }
  Result<std::any> submitted = m_log.Submit(std::move(payload));
  if (!IsOk(submitted)) {
    const Error& error = ErrorOf(submitted);
    return {ticket.m_number, error.m_code, error.m_detail, DigestOf(ticket), {}};
  }
  auto answer = std::any_cast<TicketAnswer>(ValueOf(submitted));
  answer.m_number = ticket.m_number;
  return answer;
}

void ControlReplica::WaitForNewer(Version version, io::Deadline deadline) {
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  m_state_changed.wait_until(lock, deadline, [&] { return Processor().State().m_version > version; });
}

ReplicaStatus ControlReplica::GetStatus() const {
  const RaftNode& node = m_log.Node();
  ReplicaStatus status;
  status.m_role = RaftRoleName(node.Role());
  if (node.Leader()) status.m_leader = node.Leader()->m_host;
  status.m_term = node.CurrentTerm();
  status.m_commit_index = node.CommitIndex();
  status.m_applied_index = m_log.AppliedIndex();
  status.m_last_index = node.Log().LastIndex();
  for (const RaftMember& member : node.Configuration().m_members) {
    status.m_members.push_back({member.m_peer.m_host, member.m_peer.m_disk.m_value, member.m_voter});
  }
  return status;
}

}  // namespace fighatch::daemon
