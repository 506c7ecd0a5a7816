#include "fighatch/membership.h"

#include <array>
#include <utility>

#include "membership/membership_impl.h"

namespace fighatch {
namespace {

constexpr std::array<std::string_view, 9> kEventNames = {
    "joined", "suspected", "refuted", "died", "left", "restarted", "changed", "coordinator_changed", "superseded"};

}  // namespace

std::string_view MembershipEventName(MembershipEventKind kind) noexcept {
  const auto index = static_cast<std::size_t>(kind);
  return index < kEventNames.size() ? kEventNames[index] : "unknown";
}

Membership::Membership(const MembershipSettings& settings, Random random)
    : m_impl(std::make_unique<Impl>(settings, random)) {}
Membership::~Membership() = default;
Membership::Membership(Membership&& other) noexcept = default;
Membership& Membership::operator=(Membership&& other) noexcept = default;

bool Membership::Handles(MessageType type) noexcept {
  return type == MessageType::kProbe || type == MessageType::kProbeAck || type == MessageType::kProbeRequest ||
         type == MessageType::kMemberList;
}

MembershipActions Membership::Tick(TimePoint now) { return m_impl->Tick(now); }
TimePoint Membership::NextDeadline() const { return m_impl->NextDeadline(); }

Result<MembershipActions> Membership::Receive(TimePoint now, HostId sender, const Endpoint& source, MessageType type,
                                              std::span<const std::byte> payload) {
  return m_impl->Receive(now, sender, source, type, payload);
}

MembershipActions Membership::SetKeeperReady(TimePoint now, bool ready) { return m_impl->SetKeeperReady(now, ready); }
MembershipActions Membership::Leave(TimePoint now) { return m_impl->Leave(now); }
const Member& Membership::Self() const noexcept { return m_impl->Self(); }

std::vector<Member> Membership::LiveMembers() const { return LiveMembersOf(Self().m_data_centre); }
std::vector<Member> Membership::LiveMembersOf(DataCentreId data_centre) const {
  return m_impl->LiveMembersOf(data_centre);
}
std::vector<Member> Membership::AllMembers() const { return m_impl->AllMembers(); }
std::optional<Member> Membership::Find(HostId host) const { return m_impl->Find(host); }
std::optional<Member> Membership::Coordinator() const { return CoordinatorOf(Self().m_data_centre); }
std::optional<Member> Membership::CoordinatorOf(DataCentreId data_centre) const {
  return m_impl->CoordinatorOf(data_centre);
}
std::optional<TimePoint> Membership::LastHeardFrom(DataCentreId data_centre) const {
  return m_impl->LastHeardFrom(data_centre);
}
bool Membership::IsIsolated(TimePoint now, Duration silence) const { return m_impl->IsIsolated(now, silence); }

}  // namespace fighatch
