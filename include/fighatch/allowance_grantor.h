#ifndef FIGHATCH_ALLOWANCE_GRANTOR_H_
#define FIGHATCH_ALLOWANCE_GRANTOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fighatch/lease_message.h"
#include "fighatch/lease_times.h"
#include "fighatch/random.h"
#include "fighatch/table_update.h"

namespace fighatch {

/// A member of the data centre that counts for the majority.
struct LeaseMember {
  HostId m_host;
  /// False for control hosts, which count for the majority but hold no tokens.
  bool m_may_hold_tokens = true;
  /// True if it announced its departure, which it does after its last request has ended.
  bool m_left = false;

  friend bool operator==(const LeaseMember&, const LeaseMember&) = default;
};

/// Runs on the coordinator and leases the allowances of a data centre's targets to its balancers as tokens, each of
/// which permits one request in progress at a target. The sum over all balancers thus stays within the target's
/// allowance.
///
/// The tokens of a target are numbered from 0, and each belongs to at most one holder. The home of a token is one of
/// the n members, chosen by rendezvous hashing; a coordinator grants only tokens whose home follows it. A member
/// follows one coordinator at a time, so two coordinators with k and n - k followers share the tokens k/n to (n - k)/n
/// and never grant the same one. Time points are of this host's clock.
class AllowanceGrantor {
 public:
  AllowanceGrantor(HostId host, std::uint64_t epoch, std::vector<LeaseMember> members, std::uint32_t members_digest,
                   std::uint64_t seed, TimePoint now);

  /// Sets the members as they stand in the member list, dead ones included. The members in use are updated only while a
  /// majority of the listed ones follows: a member is added once it follows, and removed when it has left, or after
  /// `kMemberRemovedAfter` if a majority reports it as missing.
  void SetMembers(std::vector<LeaseMember> members, std::uint32_t members_digest, TimePoint now);

  /// Sets how many requests all balancers together may have in progress at the target.
  void SetAllowance(const TargetInfo& target, std::uint32_t allowance);

  /// Removes a target. Allowed only after `kMaxUnreportedUseTime` with an allowance of 0, because tokens may be in use
  /// until then.
  void Forget(TargetId target);

  /// Answers a request. Returns nothing for one that is replayed, overtaken by a later one, for another grantor, or
  /// under a higher epoch than the grantor's.
  [[nodiscard]] std::optional<LeaseGrant> OnRequest(const LeaseRequest& request, TimePoint now);

  /// Number of members in use (n), and of those known to have followed this grantor within the last lease term (k).
  [[nodiscard]] std::size_t MemberCount() const noexcept { return m_members.size(); }
  [[nodiscard]] std::size_t FollowingMemberCount(TimePoint now) const;

  /// Slots of a target as last passed to `SetAllowance`; 0 for an unknown target.
  [[nodiscard]] std::uint32_t CapacityOf(TargetId target) const;

  [[nodiscard]] std::uint64_t Epoch() const noexcept { return m_epoch; }

 private:
  using TokenKey = std::pair<TargetId, std::uint16_t>;

  struct Holder {
    Incarnation m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_binding = 0;
    /// When the holder's first request of this binding arrived.
    TimePoint m_bound_since;
    /// The latest time at which the holder is known to have followed this grantor.
    std::optional<TimePoint> m_last_followed;
    std::uint32_t m_members_digest = 0;
    std::vector<HostId> m_missing;
    std::map<ServiceId, std::uint32_t> m_waiting;
    std::set<TokenKey> m_tokens;
  };
  struct Token {
    std::optional<HostId> m_owner;
    HostId m_home;
    bool m_in_use = false;
    std::uint64_t m_granted_sequence = 0;
    /// When the token was last granted or reported as held.
    TimePoint m_last_confirmed;
    TimePoint m_blocked_until;
  };
  struct Target {
    ServiceId m_service;
    Incarnation m_incarnation;
    std::uint32_t m_capacity = 0;
    std::uint32_t m_allowance = 0;
    std::vector<Token> m_tokens;
  };
  /// Tokens of one service that a holder has, uses and is entitled to.
  struct HolderShare {
    std::uint32_t m_owned = 0;
    std::uint32_t m_in_use = 0;
    std::uint32_t m_entitled = 0;
  };
  /// How the tokens of one service are to be divided among the followers that may hold tokens.
  struct Division {
    TimePoint m_computed_at;
    std::map<HostId, HolderShare> m_shares;
    std::uint32_t m_free = 0;
    std::uint32_t m_shortfall = 0;
    std::vector<TargetId> m_targets;
  };

  [[nodiscard]] bool IsMember(HostId host) const;
  [[nodiscard]] bool MayHoldTokens(HostId host) const;
  [[nodiscard]] bool IsFollowing(HostId host, TimePoint now) const;
  [[nodiscard]] bool HasMajority(TimePoint now) const;
  [[nodiscard]] bool IsMajority(const std::function<bool(HostId)>& counts) const;
  /// True if every host that may hold a token has reported which ones it holds.
  [[nodiscard]] bool AllReported(TimePoint now) const;
  [[nodiscard]] bool HasReported(HostId host, TimePoint now) const;
  [[nodiscard]] bool IsMissingForMajority(HostId host, TimePoint now) const;
  [[nodiscard]] bool IsPriorUseKnown(HostId home, TimePoint now) const;
  [[nodiscard]] bool IsFree(const Token& token, TimePoint now) const;
  /// Tokens with a number below this may be granted or renewed. Tokens above the allowance that are still held after it
  /// fell count against it.
  [[nodiscard]] static std::uint32_t UsableTokenCount(const Target& target) noexcept;
  void CheckMembers(TimePoint now);
  void ResetAfterMinority(TimePoint now);

  bool AcceptSequence(const LeaseRequest& request, TimePoint now);
  void RecordHolderState(const LeaseRequest& request, Holder* holder, TimePoint now);
  void ReconcileTokens(const LeaseRequest& request, Holder* holder, TimePoint now);
  void RecordTokenUse(HostId host, TargetId target, const TokenUse& use, Holder* holder, TimePoint now);
  void ReleaseAll(HostId host, TimePoint blocked_until);
  void UpdateMembers(TimePoint now);
  [[nodiscard]] bool HasLeft(HostId host) const;
  [[nodiscard]] bool ShouldRemove(const LeaseMember& member, TimePoint now) const;
  void AssignHomes();
  void EnsureTokenCount(TargetId id, Target* target, std::size_t tokens);
  [[nodiscard]] HostId HomeOf(TargetId target, std::size_t token) const;

  Division& DivisionOf(ServiceId service, TimePoint now);
  void CountTokens(ServiceId service, Division* division, TimePoint now);
  void Divide(ServiceId service, Division* division, TimePoint now);
  [[nodiscard]] LeaseGrant DecideGrants(const LeaseRequest& request, TimePoint now);
  void Renew(const LeaseRequest& request, Holder* holder, std::map<TargetId, TokenGrant>* grants, TimePoint now);
  void GrantFreeTokens(const LeaseRequest& request, Holder* holder, Division* division,
                       std::map<TargetId, TokenGrant>* grants, TimePoint now);
  [[nodiscard]] std::optional<TokenKey> PickFree(const Division& division, const std::map<TargetId, TokenGrant>& grants,
                                                 TimePoint now);
  void AddToGrant(TokenKey key, const LeaseRequest& request, std::map<TargetId, TokenGrant>* grants, TimePoint now);

  HostId m_host;
  std::uint64_t m_epoch;
  std::vector<LeaseMember> m_members;
  std::vector<LeaseMember> m_listed_members;
  std::uint32_t m_members_digest;
  Random m_random;
  TimePoint m_started;
  TimePoint m_checked_at;
  std::optional<TimePoint> m_majority_at;
  std::optional<TimePoint> m_all_reported_at;
  std::map<HostId, TimePoint> m_member_since;
  /// When members were removed from `m_members`.
  std::map<HostId, TimePoint> m_removed_at;
  std::map<HostId, Holder> m_holders;
  std::map<TargetId, Target> m_targets;
  std::map<ServiceId, std::set<TargetId>> m_services;
  std::map<ServiceId, Division> m_divisions;
};

}  // namespace fighatch

#endif  // FIGHATCH_ALLOWANCE_GRANTOR_H_
