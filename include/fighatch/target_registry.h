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

/// Time without an announcement after which a target is suspect, and after which it is withdrawn.
inline constexpr Duration kTargetSuspectAfter = std::chrono::seconds(2);
inline constexpr Duration kTargetWithdrawnAfter = std::chrono::seconds(5);
/// Time during which another service cannot use the address of a withdrawn target.
inline constexpr Duration kAddressQuarantine = std::chrono::seconds(10);
/// Number of consecutive refused connections after which a target is withdrawn.
inline constexpr std::uint32_t kRefusalsToWithdraw = 3;

/// Maximum number of forgotten targets whose last (incarnation, sequence) is kept to detect replays.
inline constexpr std::size_t kMaxRememberedTargets = 65536;

/// The newest announcement of a target, its arrival, and whether the target is withdrawn.
struct TargetRecord {
  TargetFact m_fact;
  /// When the newest announcement arrived at any balancer, by this host's clock.
  TimePoint m_last_announced;
  std::uint32_t m_refusals = 0;
  bool m_withdrawn = false;
  TimePoint m_withdrawn_at;
};

/// Registry of the targets of one data centre, kept by each balancer. It is fed by announcements, health checks and
/// refused connections, and withdraws targets that stop announcing themselves. Facts from other balancers are merged,
/// and the newest (incarnation, sequence) wins.
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

  /// Merges facts that another balancer received. From a fact that is not newer only the result of the health check is
  /// taken, if the incarnation is the same.
  void Merge(const TargetFacts& facts, TimePoint now);

  /// Returns and clears the facts that this host received since the last call: full facts for changed targets,
  /// refreshes for the others.
  [[nodiscard]] TargetFacts TakeFacts(HostId sender, TimePoint now);

  /// Records the result of a health check of this incarnation.
  void OnHealthCheck(TargetId target, Incarnation incarnation, bool answered);

  /// Records that a connection to the target was refused or accepted.
  void OnConnection(TargetId target, bool refused, TimePoint now);

  /// Withdraws stopped and silent targets, and forgets those whose quarantine has ended. To be called about every 100
  /// ms.
  void Tick(TimePoint now);

  /// The record of a target that is not withdrawn; null otherwise.
  [[nodiscard]] const TargetRecord* Find(TargetId target) const;

  /// The record of a target, withdrawn or not; null if it is unknown or forgotten.
  [[nodiscard]] const TargetRecord* FindAny(TargetId target) const;

  /// Makes the next `TakeFacts` return full facts for all live targets, after the coordinator has changed.
  void ResendAll();

  /// The state that balancers use: as announced, `kSuspect` after `kTargetSuspectAfter` without announcements,
  /// `kStopped` if withdrawn.
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
  /// Targets with facts not yet returned by `TakeFacts`; true if a refresh does not carry all changes.
  std::map<TargetId, bool> m_unsent_facts;
  std::vector<TargetWithdrawal> m_unsent_withdrawals;
  /// Newest (incarnation, sequence) of forgotten targets.
  std::map<TargetId, std::pair<Incarnation, std::uint64_t>> m_forgotten;
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_REGISTRY_H_
