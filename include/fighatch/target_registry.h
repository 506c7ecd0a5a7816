#ifndef FIGHATCH_TARGET_REGISTRY_H_
#define FIGHATCH_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "fighatch/announcement.h"
#include "fighatch/target_facts.h"
#include "fighatch/time.h"

namespace fighatch {

/// A target is suspect after this silence and withdrawn after the next one.
inline constexpr Duration kTargetSuspectAfter = std::chrono::seconds(2);
inline constexpr Duration kTargetWithdrawnAfter = std::chrono::seconds(5);
/// Time in which the address of a withdrawn target is not given to another service.
inline constexpr Duration kAddressQuarantine = std::chrono::seconds(10);
/// Connections in a row that must be refused before a target is withdrawn.
inline constexpr std::uint32_t kRefusalsToWithdraw = 3;

/// Forgotten targets whose last (incarnation, sequence) is remembered against replay.
inline constexpr std::size_t kMaxRememberedTargets = 65536;

/// What is known of one target.
struct TargetRecord {
  TargetFact m_fact;
  /// When the newest announcement arrived anywhere, by this host's clock.
  TimePoint m_last_announced;
  std::uint32_t m_refusals = 0;
  bool m_withdrawn = false;
  TimePoint m_withdrawn_at;
};

/// The targets of one data centre, from announcements, health checks, refused connections and silence. Each balancer
/// keeps one; facts that other balancers received are merged, and the newest (incarnation, sequence) wins.
///
/// \code
/// Result<TargetId> target = registry.Announce(body, signature, keys, state, now);
/// TargetFacts facts = registry.TakeFacts(own_host, now);  // for the coordinator
/// \endcode
class TargetRegistry {
 public:
  explicit TargetRegistry(DataCentreId data_centre) : m_data_centre(data_centre) {}

  /// Verifies, parses, admits and records an announcement. Errors: 7001 to 7006.
  [[nodiscard]] Result<TargetId> Announce(std::string_view body, std::string_view signature,
                                          std::span<const TargetKey> keys, const StateDocument& state, TimePoint now);

  /// Records an announcement that was verified and admitted. Errors: `kAnnouncementReplayed`,
  /// `kAnnouncementNotAdmitted` while the address is in quarantine.
  [[nodiscard]] Status Record(const TargetFact& fact, TimePoint now);

  /// Merges what another balancer received; facts that are not newer change nothing.
  void Merge(const TargetFacts& facts, TimePoint now);

  /// Facts that arrived here since the last call: whole for changed targets, short for the others.
  [[nodiscard]] TargetFacts TakeFacts(HostId sender, TimePoint now);

  /// A health check was answered by this incarnation.
  void OnHealthCheck(TargetId target, Incarnation incarnation, bool answered);

  /// A connection to the target was refused (true) or accepted (false).
  void OnConnection(TargetId target, bool refused, TimePoint now);

  /// Withdraws silent targets and forgets those whose quarantine is over. Call it every 100 ms or so.
  void Tick(TimePoint now);

  /// The record of a target that is not withdrawn; null otherwise.
  [[nodiscard]] const TargetRecord* Find(TargetId target) const;

  /// The record of a target, withdrawn or not; null if it is unknown or forgotten.
  [[nodiscard]] const TargetRecord* FindAny(TargetId target) const;

  /// Makes the next `TakeFacts` send every live target whole, after the coordinator has changed.
  void ResendAll();

  /// The state as balancers should take it: announced, `kSuspect` after silence, `kStopped` if withdrawn.
  [[nodiscard]] TargetState StateOf(const TargetRecord& record, TimePoint now) const;

  /// Records of targets that are not withdrawn, ascending by id.
  [[nodiscard]] std::vector<const TargetRecord*> Live() const;

 private:
  [[nodiscard]] bool IsQuarantined(const TargetInfo& info, TimePoint now) const;
  void Withdraw(TargetRecord* record, TimePoint now);
  void Store(const TargetFact& fact, TimePoint announced_at);
  void MergeFact(const TargetFact& fact, TimePoint now);
  void MergeRefresh(const TargetRefresh& refresh, TimePoint now);
  void MergeWithdrawal(const TargetWithdrawal& withdrawal, TimePoint now);
  [[nodiscard]] bool IsReplayed(const TargetFact& fact) const;
  void Remember(const TargetRecord& record);

  DataCentreId m_data_centre;
  std::map<TargetId, TargetRecord> m_records;
  /// Facts heard here and not yet taken; true if more than sequence and load changed.
  std::map<TargetId, bool> m_unsent_facts;
  std::vector<TargetWithdrawal> m_unsent_withdrawals;
  /// Newest (incarnation, sequence) of forgotten targets.
  std::map<TargetId, std::pair<Incarnation, std::uint64_t>> m_forgotten;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_REGISTRY_H_
