#ifndef FIGHATCH_MEMBERSHIP_MEMBER_TABLE_H_
#define FIGHATCH_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fighatch/time.h"
#include "membership/membership_messages.h"

namespace fighatch::membership {

/// True for a member that takes part: alive or suspected.
[[nodiscard]] constexpr bool IsLive(MemberState state) noexcept {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// A member and when its state was learned.
struct MemberRecord {
  MemberUpdate m_update;
  /// Start of a suspicion, or time of a death or leave.
  TimePoint m_state_since;
  /// True for a suspicion or death that this host found while it heard from nobody. It is not told to others and ends
  /// when this host hears from anyone again.
  bool m_is_unconfirmed = false;

  [[nodiscard]] const Member& Get() const noexcept { return m_update.m_member; }
};

/// What became of an update.
enum class MergeOutcome : std::uint8_t {
  kApplied = 0,
  /// Known already.
  kEqual = 1,
  /// A newer update is known.
  kOlder = 2,
  /// News of the end of a member that is not known, or the table is full.
  kIgnored = 3,
};

/// All known members but this one, with the highest update for each.
class MemberTable {
 public:
  /// Members that the table holds at most: several regions of the planned size.
  static constexpr std::size_t kMaxMembers = 8192;

  [[nodiscard]] MergeOutcome Merge(TimePoint now, const MemberUpdate& update);

  /// Sets the state of a member at its present revision.
  void SetState(HostId host, MemberState state, TimePoint since, bool unconfirmed);

  /// Ends what was found while hearing from nobody; returns the members concerned.
  [[nodiscard]] std::vector<HostId> RevertUnconfirmed();

  /// Makes what was found while hearing from nobody known to others; returns the members concerned.
  [[nodiscard]] std::vector<HostId> ConfirmAll();

  /// Removes members that ended before `limit`.
  void RemoveEndedBefore(TimePoint cutoff);

  [[nodiscard]] const MemberRecord* Find(HostId host) const noexcept;
  [[nodiscard]] const std::map<HostId, MemberRecord>& Records() const noexcept { return m_records; }

  /// The digest over the live members of a data centre.
  [[nodiscard]] std::uint64_t DigestOf(DataCentreId data_centre) const noexcept;
  [[nodiscard]] const std::map<DataCentreId, std::uint64_t>& Digests() const noexcept { return m_digests; }

  /// The share of one member in the digest of its data centre.
  [[nodiscard]] static std::uint64_t DigestContribution(const MemberUpdate& update) noexcept;

  /// The update to send about a member, with the age of a suspicion.
  [[nodiscard]] static MemberUpdate UpdateOf(const MemberRecord& record, TimePoint now);

 private:
  [[nodiscard]] std::vector<HostId> UnconfirmedHosts() const;
  void AddToDigest(const MemberRecord& record) noexcept;
  void RemoveFromDigest(const MemberRecord& record) noexcept;

  std::map<HostId, MemberRecord> m_records;
  std::map<DataCentreId, std::uint64_t> m_digests;
};

}  // namespace fighatch::membership

#endif  // FIGHATCH_MEMBERSHIP_MEMBER_TABLE_H_
