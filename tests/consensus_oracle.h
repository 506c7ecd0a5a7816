#ifndef FIGHATCH_TESTS_CONSENSUS_ORACLE_H_
#define FIGHATCH_TESTS_CONSENSUS_ORACLE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fighatch/raft_message.h"
#include "fighatch/ticket_processor.h"

namespace fighatch::testing_support {

/// What must hold over all hosts, whatever fails: one applied order, one winner for a number, accepted tickets stay
/// accepted, generations do not go down. The first violation is kept as a text.
class ConsensusOracle {
 public:
  void OnApplied(const RaftPeer& peer, const LogEntry& entry) {
    LogIndex& last = m_applied_up_to[peer];
    if (last != 0 && entry.m_index != last + 1) Fail("a host skipped or repeated an entry", entry.m_index);
    last = entry.m_index;
    const auto [known, is_new] = m_applied.emplace(entry.m_index, entry);
    if (!is_new && known->second != entry) Fail("two hosts applied different entries", entry.m_index);
  }

  void OnRestored(const RaftPeer& peer, LogIndex index) {
    if (m_applied_up_to[peer] > index) Fail("a snapshot took a host back", index);
    m_applied_up_to[peer] = index;
  }

  /// A restarted process applies again what it had applied; its state must not be older than its snapshot.
  void OnRestarted(const RaftPeer& peer, LogIndex snapshot_index) {
    m_applied_up_to[peer] = snapshot_index;
    m_generations.erase(peer);
  }

  void OnState(const RaftPeer& peer, const TicketProcessor& processor) {
    Version& last = m_generations[peer];
    if (processor.State().m_version < last) Fail("a generation went down", last.m_generation);
    last = processor.State().m_version;
  }

  /// An answer that an operator got.
  void OnAnswer(const TicketAnswer& answer) {
    if (answer.m_code != ErrorCode::kOk) return;
    const auto [known, is_new] = m_accepted.emplace(answer.m_number, answer);
    if (!is_new && known->second != answer) Fail("a number has two winners or two answers", answer.m_number.m_value);
    m_highest_accepted_generation = std::max(m_highest_accepted_generation, answer.m_version.m_generation);
  }

  /// After all faults have ended, every host knows every accepted ticket.
  void CheckAcceptedTickets(const TicketProcessor& processor) {
    for (const auto& [number, answer] : m_accepted) {
      const AcceptedTicket* kept = processor.FindAccepted(number);
      if (kept == nullptr || kept->m_digest != answer.m_digest || kept->m_version != answer.m_version) {
        Fail("an accepted ticket was lost or changed", number.m_value);
      }
    }
  }

  /// A read barrier that was started when `accepted_before` was the highest accepted generation.
  void OnReadBarrierPassed(LogIndex index, std::uint64_t accepted_before) {
    if (index < accepted_before) Fail("a read barrier missed an accepted ticket", accepted_before);
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
