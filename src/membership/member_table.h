#ifndef FIGHATCH_MEMBERSHIP_MEMBER_TABLE_H_
#define FIGHATCH_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fighatch/time.h"
#include "membership/membership_messages.h"

namespace fighatch::membership {

/// True for a member that counts as running: alive or suspected.
[[nodiscard]] constexpr bool IsLive(MemberState state) noexcept {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// The latest update about a member and since when its state holds.
struct MemberRecord {
  MemberUpdate m_update;
  /// Start of a suspicion, or the time at which a death or leave became known.
  TimePoint m_state_since;
  /// True for a suspicion or death that this host declared while it received no messages itself. It is not sent to
  /// others. A message from the own data centre reverts it; if only other data centres send messages, it is confirmed.
  bool m_is_unconfirmed = false;

  [[nodiscard]] const Member& Get() const noexcept { return m_update.m_member; }
};

/// The result of merging an update into the table.
enum class MergeOutcome : std::uint8_t {
  kApplied = 0,
  /// The same update is known already.
  kEqual = 1,
  /// A newer update is known.
  kOlder = 2,
  /// The update reports the death or leave of an unknown member, or the table is full.
  kIgnored = 3,
};

/// The known members other than this one, with the update of the highest rank for each, and a digest of the live
/// members of each data centre.
class MemberTable {
 public:
  /// Upper limit of the table's size: enough for several regions of the planned size.
  static constexpr std::size_t kMaxMembers = 8192;

  /// Stores the update if its rank is higher than that of the known one.
  [[nodiscard]] MergeOutcome Merge(TimePoint now, const MemberUpdate& update);

  /// Sets the state of a known member without changing its revision.
  void SetState(HostId host, MemberState state, TimePoint since, bool unconfirmed);

  /// Sets the members with an unconfirmed suspicion or death back to alive, and returns them.
  [[nodiscard]] std::vector<HostId> RevertUnconfirmed();

  /// Marks all unconfirmed suspicions and deaths as confirmed, and returns their members.
  [[nodiscard]] std::vector<HostId> ConfirmAll();

  /// Removes the members that died or left before `cutoff`.
  void RemoveEndedBefore(TimePoint cutoff);

  [[nodiscard]] const MemberRecord* Find(HostId host) const noexcept;
  [[nodiscard]] const std::map<HostId, MemberRecord>& Records() const noexcept { return m_records; }

  /// The digest of the live members of a data centre: the sum of their contributions.
  [[nodiscard]] std::uint64_t DigestOf(DataCentreId data_centre) const noexcept;
  [[nodiscard]] const std::map<DataCentreId, std::uint64_t>& Digests() const noexcept { return m_digests; }

  /// What a member adds to the digest of its data centre: a hash of host, incarnation and revision; 0 unless live.
  [[nodiscard]] static std::uint64_t DigestContribution(const MemberUpdate& update) noexcept;

  /// The update to send about a member, with the age of its suspicion at `now`.
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
