#include "fighatch/raft_message.h"

#include <algorithm>

#include "wire/codec.h"

namespace fighatch {

bool RaftConfiguration::HasMember(const RaftPeer& peer) const noexcept {
  return std::any_of(m_members.begin(), m_members.end(),
                     [&peer](const RaftMember& member) { return member.m_peer == peer; });
}

bool RaftConfiguration::IsRetired(const RaftPeer& peer) const noexcept {
  return std::find(m_retired.begin(), m_retired.end(), peer) != m_retired.end();
}

bool RaftConfiguration::HasVoter(const RaftPeer& peer) const noexcept {
  return std::any_of(m_members.begin(), m_members.end(),
                     [&peer](const RaftMember& member) { return member.m_voter && member.m_peer == peer; });
}

std::size_t RaftConfiguration::VoterCount() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(m_members.begin(), m_members.end(), [](const RaftMember& member) { return member.m_voter; }));
}

std::vector<std::byte> EncodeRaftMessage(const RaftMessage& message) { return wire::Encode(message); }

Result<RaftMessage> DecodeRaftMessage(std::span<const std::byte> bytes) { return wire::Decode<RaftMessage>(bytes); }

}  // namespace fighatch
