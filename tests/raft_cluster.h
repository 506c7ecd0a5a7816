#ifndef FIGHATCH_TESTS_RAFT_CLUSTER_H_
#define FIGHATCH_TESTS_RAFT_CLUSTER_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "consensus_oracle.h"
#include "fighatch/file_log_storage.h"
#include "fighatch/raft_node.h"
#include "memory_directory.h"
#include "sync_time.h"
#include "wire/codec.h"

namespace fighatch::testing_support {

using std::chrono::milliseconds;

/// A ticket that takes one data centre into service.
inline Ticket MakeTicket(std::uint64_t number) {
  Ticket ticket;
  ticket.m_number.m_value = number;
  ticket.m_author = "operator";
  ticket.m_data_centres.push_back({"dc" + std::to_string(number % 5), {}, DataCentreState::kIn, "r1", {}});
  return ticket;
}

/// Faults of the simulated network; loss and duplicates are in percent of the messages.
struct NetworkFaults {
  std::uint64_t m_loss_percent = 0;
  std::uint64_t m_duplicate_percent = 0;
  std::uint64_t m_max_delay_ms = 5;
  /// Pairs of hosts (from, to) between which no message arrives.
  std::set<std::pair<std::uint32_t, std::uint32_t>> m_blocked_links;
};

/// A simulated group of control hosts, with virtual time, a faulty network and data folders in memory. A
/// `ConsensusOracle` checks every step.
class RaftCluster {
 public:
  /// With open admission, hosts may be added, and the group replaces members automatically; it keeps enough voters to
  /// tolerate the loss of `tolerated_lost_disks` at a time.
  RaftCluster(std::uint32_t hosts, std::uint64_t seed, bool open_admission = false,
              std::size_t tolerated_lost_disks = 1)
      : m_random(seed), m_open_admission(open_admission), m_tolerated_lost_disks(tolerated_lost_disks) {
    RaftConfiguration founding;
    for (std::uint32_t id = 1; id <= hosts; ++id) founding.m_members.push_back({{HostId{id}, kFoundingDiskId}, true});
    for (std::uint32_t id = 1; id <= hosts; ++id) {
      Host& host = m_hosts[id];
      host.m_directory = std::make_unique<MemoryDirectory>(m_random());
      (void)FileLogStorage::Format(host.m_directory.get(), {{HostId{id}, kFoundingDiskId}, founding});
    }
    for (auto& [id, host] : m_hosts) Start(id);
  }

  /// Advances virtual time in steps of 1 ms, delivers messages and runs the hosts.
  void Run(milliseconds span) {
    const TimePoint end = m_time + span;
    while (m_time < end) {
      m_time += milliseconds(1);
      while (!m_messages.empty() && m_messages.begin()->first <= m_time) {
        const std::vector<std::byte> bytes = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        const RaftMessage message = ValueOf(DecodeRaftMessage(bytes));
        const std::uint32_t to = message.m_to.m_host.m_value;
        if (!m_hosts.contains(to) || !m_hosts[to].m_node) continue;
        if (m_faults.m_blocked_links.contains({message.m_from.m_host.m_value, to})) continue;
        m_hosts[to].m_node->Receive(Now(to), message);
        ProcessOutput(to);
      }
      for (auto& [id, host] : m_hosts) {
        if (host.m_write && host.m_write->m_ends <= m_time) FinishWrite(id);
        if (host.m_node && host.m_node->NextDeadline() <= Now(id)) {
          host.m_node->Tick(Now(id));
          ProcessOutput(id);
        }
      }
      CheckLeases();
    }
  }

  /// Starts a host from its folder unless it is running; an empty folder gets a new identity.
  void Start(std::uint32_t id) {
    Host& host = m_hosts[id];
    if (host.m_node) return;
    const Result<bool> formatted = FileLogStorage::IsFormatted(host.m_directory.get());
    if (!IsOk(formatted)) return m_oracle.Fail("a folder has files but no identity after a crash", id);
    if (!ValueOf(formatted)) {
      const RaftPeer self{HostId{id}, DiskId{1000 + m_random.Below(1U << 30U)}};
      if (!IsOk(FileLogStorage::Format(host.m_directory.get(), {self, {}}))) return host.m_directory->Restart();
    }
    auto storage = FileLogStorage::Open(host.m_directory.get(), HostId{id}, 2000);
    if (host.m_directory->HasCrashed()) return host.m_directory->Restart();
    if (!IsOk(storage))
      return m_oracle.Fail("a folder cannot be opened after a crash: " + ToString(ErrorOf(storage)), id);
    host.m_storage = std::move(ValueOf(storage));
    StoredLog stored = host.m_storage->TakeStored();
    if (host.m_saved_commit_mark.first == stored.m_identity.m_self.m_disk)
      stored.m_known_commit_index = host.m_saved_commit_mark.second;
    host.m_processor = {};
    host.m_applied = stored.m_snapshot ? stored.m_snapshot->m_index : 0;
    host.m_read_barriers.clear();
    host.m_proposed.clear();
    if (stored.m_snapshot) Restore(&host, *stored.m_snapshot);
    m_oracle.OnRestarted(stored.m_identity.m_self, host.m_applied);
    RaftOptions options;
    options.m_max_append_bytes = 400;
    options.m_snapshot_chunk_bytes = 300;
    options.m_trailing_entries = 4;
    options.m_open_admission = m_open_admission;
    options.m_tolerated_lost_disks = m_tolerated_lost_disks;
    for (const auto& [other, unused] : m_hosts) options.m_hosts.insert(HostId{other});
    if (m_seeds) options.m_hosts = *m_seeds;
    host.m_node = std::make_unique<RaftNode>(options, std::move(stored), Now(id), Random(m_random()));
  }

  /// Sets the hosts that a host may send join requests to from its next start on; by default all current hosts.
  void SetSeeds(const std::set<std::uint32_t>& hosts) {
    m_seeds.emplace();
    for (const std::uint32_t id : hosts) m_seeds->insert(HostId{id});
  }

  /// Sets how long the syncs of a host's log take from now on; by default they take no time.
  void SetSyncTime(std::uint32_t id, const SyncTime& time) { m_hosts[id].m_sync_time = time; }

  /// Adds a host with an empty disk, which may send join requests to all current hosts.
  void AddHost(std::uint32_t id) {
    m_hosts[id].m_directory = std::make_unique<MemoryDirectory>(m_random());
    Start(id);
  }

  /// Lets a host announce its stop, as its process does on a signal, and gives it 100 ms for that.
  void AnnounceStop(std::uint32_t id) {
    m_hosts[id].m_node->AnnounceStop(Now(id));
    ProcessOutput(id);
    Run(milliseconds(100));
  }

  /// Stops a host permanently.
  void RemoveHost(std::uint32_t id) {
    Crash(id);
    m_hosts.erase(id);
  }

  /// Stops a host and empties its disk, whatever the state of the group.
  void WipeUnconditionally(std::uint32_t id) {
    Crash(id);
    m_hosts[id].m_directory->Wipe();
    m_hosts[id].m_saved_commit_mark = {};
  }

  /// Stops a host without warning; data that it had not synced may be lost.
  void Crash(std::uint32_t id) {
    m_hosts[id].m_node.reset();
    m_hosts[id].m_write.reset();
    m_hosts[id].m_storage.reset();
    m_hosts[id].m_directory->Restart();
  }

  /// Makes the host crash in a modifying file call, after `calls` more of them.
  void CrashDuringFileCall(std::uint32_t id, std::uint64_t calls) { m_hosts[id].m_directory->CrashAfter(calls); }

  /// Stops a host and empties its disk, unless another lost disk has not been replaced in the group yet: the log may be
  /// lost if more than one disk is missing.
  void WipeIfSafe(std::uint32_t id) {
    const std::uint32_t leader = Leader();
    if (leader == 0 || !HasAllVoters(*m_hosts[leader].m_node)) return;
    Crash(id);
    m_hosts[id].m_directory->Wipe();
    m_hosts[id].m_saved_commit_mark = {};
  }

  void JumpClock(std::uint32_t id, milliseconds by) {
    m_hosts[id].m_clock_offset += by;
    m_clocks_jumped = true;
  }

  void Submit(std::uint32_t id, const Ticket& ticket) {
    Host& host = m_hosts[id];
    if (!host.m_node) return;
    if (const auto known = host.m_processor.Find(ticket.m_number, DigestOf(ticket))) return m_oracle.OnAnswer(*known);
    const std::vector<std::byte> bytes = wire::Encode(ticket);
    const auto proposed =
        host.m_node->Propose(Now(id), std::string(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
    if (!IsOk(proposed)) return;
    host.m_proposed.insert(ValueOf(proposed));
    ProcessOutput(id);
  }

  void SubmitReadBarrier(std::uint32_t id) {
    Host& host = m_hosts[id];
    if (!host.m_node) return;
    const std::uint64_t accepted_before = m_oracle.HighestAcceptedGeneration();
    const auto barrier = host.m_node->StartReadBarrier(Now(id));
    if (IsOk(barrier)) host.m_read_barriers[ValueOf(barrier)] = accepted_before;
    ProcessOutput(id);
  }

  void TransferLeadership(std::uint32_t id) {
    if (!m_hosts[id].m_node) return;
    m_hosts[id].m_node->TransferLeadership(Now(id));
    ProcessOutput(id);
  }

  /// Ends all faults and waits up to 20 s of virtual time until every host is a voter and has applied the same log;
  /// returns false if that does not happen.
  bool Heal() {
    m_faults = {};
    for (int round = 0; round < 100; ++round) {
      for (auto& [id, host] : m_hosts) {
        host.m_directory->CrashAfter(std::nullopt);
        Start(id);
      }
      Run(milliseconds(200));
      const std::uint32_t leader = Leader();
      if (leader == 0 || !HasAllVoters(*m_hosts[leader].m_node)) continue;
      const RaftNode& node = *m_hosts[leader].m_node;
      bool equal = node.CommitIndex() == node.Log().LastIndex();
      for (const auto& [id, host] : m_hosts) equal = equal && host.m_applied == node.CommitIndex();
      if (equal) return true;
    }
    return false;
  }

  /// The leader with the highest term; 0 if there is none.
  [[nodiscard]] std::uint32_t Leader() const {
    std::uint32_t leader = 0;
    Term term = 0;
    for (const auto& [id, host] : m_hosts) {
      if (!host.m_node || host.m_node->Role() != RaftRole::kLeader || host.m_node->CurrentTerm() <= term) continue;
      leader = id;
      term = host.m_node->CurrentTerm();
    }
    return leader;
  }

  [[nodiscard]] TimePoint Time() const { return m_time; }
  [[nodiscard]] const RaftNode& Node(std::uint32_t id) const { return *m_hosts.at(id).m_node; }
  [[nodiscard]] const TicketProcessor& Processor(std::uint32_t id) const { return m_hosts.at(id).m_processor; }
  [[nodiscard]] NetworkFaults& Faults() { return m_faults; }
  [[nodiscard]] ConsensusOracle& Oracle() { return m_oracle; }
  [[nodiscard]] std::uint64_t SnapshotsInstalled() const { return m_snapshots_installed; }

  /// Blocks the messages from a host, to it, or both.
  void Isolate(std::uint32_t id, bool outgoing, bool incoming) {
    for (const auto& [other, host] : m_hosts) {
      if (outgoing) m_faults.m_blocked_links.insert({id, other});
      if (incoming) m_faults.m_blocked_links.insert({other, id});
    }
  }

  /// Handles the output of a host's `RaftNode` as its caller must: sends, applies, persists. May take a snapshot.
  void ProcessOutput(std::uint32_t id) {
    Host& host = m_hosts[id];
    RaftOutput output = host.m_node->TakeOutput();
    for (const RaftMessage& message : output.m_messages) Send(message);
    if (output.m_snapshot) {
      Restore(&host, *output.m_snapshot);
      m_oracle.OnRestored(host.m_node->Self(), output.m_snapshot->m_index);
      ++m_snapshots_installed;
    }
    for (const LogEntry& entry : output.m_committed) Apply(&host, entry);
    for (const auto& [barrier, index] : output.m_passed_read_barriers) {
      if (!m_clocks_jumped) m_oracle.OnReadBarrierPassed(index, host.m_read_barriers[barrier]);
    }
    m_oracle.OnState(host.m_node->Self(), host.m_processor);
    if (output.HasDataToPersist()) return StartWrite(id, std::move(output));
    if (m_random.Below(4) == 0) {
      host.m_saved_commit_mark = {host.m_node->Self().m_disk, std::min(host.m_applied, host.m_node->PersistedIndex())};
    }
    if (!host.m_write) MaybeCompact(id, &host);
  }

 private:
  // A write that takes time. Its data reaches the disk at its start or at its end, so that a crash meanwhile may or may
  // not find it there.
  struct Write {
    RaftOutput m_data;
    bool m_is_on_disk = false;
    TimePoint m_ends;
  };
  struct Host {
    std::unique_ptr<MemoryDirectory> m_directory;
    std::unique_ptr<FileLogStorage> m_storage;
    std::unique_ptr<RaftNode> m_node;
    TicketProcessor m_processor;
    LogIndex m_applied = 0;
    // Simulates `CommitMark`; updated at random, so that it lags behind the applied index.
    std::pair<DiskId, LogIndex> m_saved_commit_mark;
    SyncTime m_sync_time;
    std::optional<Write> m_write;
    milliseconds m_clock_offset{0};
    std::set<std::pair<LogIndex, Term>> m_proposed;
    // By barrier id: the highest generation accepted when the barrier was started.
    std::map<std::uint64_t, std::uint64_t> m_read_barriers;
  };

  [[nodiscard]] TimePoint Now(std::uint32_t id) { return m_time + m_hosts[id].m_clock_offset; }

  [[nodiscard]] bool HasAllVoters(const RaftNode& node) const {
    for (const auto& [id, host] : m_hosts) {
      if (!host.m_node || !node.Configuration().HasVoter(host.m_node->Self())) return false;
    }
    return true;
  }

  void StartWrite(std::uint32_t id, RaftOutput output) {
    Host& host = m_hosts[id];
    const milliseconds duration = WriteTime(host, output);
    host.m_write = Write{std::move(output), false, m_time + duration};
    if (duration == milliseconds(0)) return FinishWrite(id);
    if (m_random.Below(2) == 0) host.m_write->m_is_on_disk = IsOk(Persist(host.m_write->m_data, host.m_storage.get()));
    if (host.m_directory->HasCrashed()) Crash(id);
  }

  void FinishWrite(std::uint32_t id) {
    Host& host = m_hosts[id];
    const Write write = std::move(*std::exchange(host.m_write, {}));
    if (!write.m_is_on_disk && !IsOk(Persist(write.m_data, host.m_storage.get()))) return Crash(id);
    // The snapshot may cover entries that the node has not been able to write yet.
    MaybeCompact(id, &host);
    if (!host.m_node) return;
    host.m_node->OnPersisted(Now(id));
    ProcessOutput(id);
  }

  // The time of the syncs of a write: two for each replaced file, one for entries.
  milliseconds WriteTime(const Host& host, const RaftOutput& output) {
    const int syncs = (output.m_vote ? 2 : 0) + (output.m_snapshot ? 2 : 0) + (output.m_entries.empty() ? 0 : 1);
    milliseconds total{0};
    for (int sync = 0; sync < syncs; ++sync) total += host.m_sync_time.Draw(&m_random);
    return total;
  }

  void Restore(Host* host, const RaftSnapshot& snapshot) {
    if (!IsOk(host->m_processor.Restore(std::as_bytes(std::span(snapshot.m_data))))) {
      m_oracle.Fail("a snapshot cannot be decoded", snapshot.m_index);
    }
    host->m_applied = snapshot.m_index;
  }

  void Apply(Host* host, const LogEntry& entry) {
    m_oracle.OnApplied(host->m_node->Self(), entry);
    host->m_applied = entry.m_index;
    if (entry.m_kind != EntryKind::kPayload) return;
    const Ticket ticket = ValueOf(wire::Decode<Ticket>(std::as_bytes(std::span(entry.m_payload))));
    const TicketAnswer answer = host->m_processor.Apply(ticket, {entry.m_term, entry.m_index});
    if (host->m_proposed.erase({entry.m_index, entry.m_term}) > 0) m_oracle.OnAnswer(answer);
  }

  void MaybeCompact(std::uint32_t id, Host* host) {
    if (host->m_applied % 8 != 0) return;
    const std::vector<std::byte> data = host->m_processor.EncodeSnapshot();
    const auto [snapshot, keep_from] =
        host->m_node->Compact(host->m_applied, std::string(reinterpret_cast<const char*>(data.data()), data.size()));
    if (snapshot && !IsOk(host->m_storage->SaveSnapshot(*snapshot, keep_from))) Crash(id);
  }

  void Send(const RaftMessage& message) {
    if (m_random.Below(100) < m_faults.m_loss_percent) return;
    const int copies = m_random.Below(100) < m_faults.m_duplicate_percent ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const auto delay = milliseconds(1 + m_random.Below(m_faults.m_max_delay_ms));
      m_messages.emplace(m_time + delay, EncodeRaftMessage(message));
    }
  }

  void CheckLeases() {
    if (m_clocks_jumped) return;
    int leases = 0;
    for (const auto& [id, host] : m_hosts) leases += host.m_node && host.m_node->HasLease(Now(id)) ? 1 : 0;
    m_oracle.OnLeases(leases);
  }

  Random m_random;
  bool m_open_admission = false;
  std::size_t m_tolerated_lost_disks = 1;
  std::optional<std::set<HostId>> m_seeds;
  TimePoint m_time;
  std::map<std::uint32_t, Host> m_hosts;
  std::multimap<TimePoint, std::vector<std::byte>> m_messages;
  NetworkFaults m_faults;
  ConsensusOracle m_oracle;
  // Leases and read barriers rely on clocks that do not jump; their checks are off once one has jumped.
  bool m_clocks_jumped = false;
  std::uint64_t m_snapshots_installed = 0;
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_RAFT_CLUSTER_H_
