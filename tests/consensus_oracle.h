#ifndef FIGHATCH_TESTS_CONSENSUS_ORACLE_H_
#define FIGHATCH_TESTS_CONSENSUS_ORACLE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fighatch/raft_message.h"
#include "fighatch/ticket_processor.h"

namespace fighatch::testing_support {

/// Checks the invariants of the group that must hold under all faults: all hosts apply the same entries in the same
/// order, a ticket number has one accepted ticket, accepted tickets are never lost, the state generation of a host does
/// not decrease, and at most one host holds a lease. Records a description of the first violation.
class ConsensusOracle {
 public:
  void OnApplied(const RaftPeer& peer, const LogEntry& entry) {
    LogIndex& last = m_applied_up_to[peer];
    if (last != 0 && entry.m_index != last + 1) Fail("a host skipped an entry or applied it twice", entry.m_index);
    last = entry.m_index;
    const auto [known, is_new] = m_applied.emplace(entry.m_index, entry);
    if (!is_new && known->second != entry) Fail("two hosts applied different entries", entry.m_index);
  }

  void OnRestored(const RaftPeer& peer, LogIndex index) {
    if (m_applied_up_to[peer] > index) Fail("a snapshot is older than the state of the host that installed it", index);
    m_applied_up_to[peer] = index;
  }

  /// A restarted host applies the entries after its stored snapshot again, so its checks start over from there.
  void OnRestarted(const RaftPeer& peer, LogIndex snapshot_index) {
    m_applied_up_to[peer] = snapshot_index;
    m_generations.erase(peer);
  }

  void OnState(const RaftPeer& peer, const TicketProcessor& processor) {
    Version& last = m_generations[peer];
    if (processor.State().m_version < last) Fail("the state generation of a host decreased", last.m_generation);
    last = processor.State().m_version;
  }

  /// Called with each answer that a submitter received.
  void OnAnswer(const TicketAnswer& answer) {
    if (answer.m_code != ErrorCode::kOk) return;
    const auto [known, is_new] = m_accepted.emplace(answer.m_number, answer);
    if (!is_new && known->second != answer)
      Fail("a ticket number has two accepted tickets or two answers", answer.m_number.m_value);
    m_highest_accepted_generation = std::max(m_highest_accepted_generation, answer.m_version.m_generation);
  }

  /// Checks that a host has every accepted ticket; to be called after all faults have ended.
  void CheckAcceptedTickets(const TicketProcessor& processor) {
    for (const auto& [number, answer] : m_accepted) {
      const AcceptedTicket* kept = processor.FindAccepted(number);
      if (kept == nullptr || kept->m_digest != answer.m_digest || kept->m_version != answer.m_version) {
        Fail("an accepted ticket was lost or changed", number.m_value);
      }
    }
  }

  /// Called with the index of a read barrier that was started when `accepted_before` was the highest accepted
  /// generation.
  void OnReadBarrierPassed(LogIndex index, std::uint64_t accepted_before) {
    if (index < accepted_before) Fail("a read barrier passed at an index before an accepted ticket", accepted_before);
  }

  void OnLeases(int hosts_with_lease) {
    if (hosts_with_lease > 1) Fail("two hosts hold a lease", 0);
  }

  [[nodiscard]] std::uint64_t HighestAcceptedGeneration() const { return m_highest_accepted_generation; }
  [[nodiscard]] std::size_t AcceptedCount() const { return m_accepted.size(); }
  [[nodiscard]] const std::string& Violation() const { return m_violation; }

  void Fail(const std::string& what, std::uint64_t detail) {
    if (m_violation.empty()) m_violation = what + " (" + std::to_string(detail) + ")";
  }

 private:
  std::map<LogIndex, LogEntry> m_applied;
  std::map<RaftPeer, LogIndex> m_applied_up_to;
  std::map<RaftPeer, Version> m_generations;
  std::map<TicketNumber, TicketAnswer> m_accepted;
  std::uint64_t m_highest_accepted_generation = 0;
  std::string m_violation;
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_CONSENSUS_ORACLE_H_
