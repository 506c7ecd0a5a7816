#include "membership/membership_messages.h"

#include <algorithm>

#include "wire/codec.h"

namespace fighatch::membership {
namespace {

bool IsValid(const MemberUpdate& update) noexcept {
  const Member& member = update.m_member;
  return member.m_host.m_value != 0 && member.m_role <= MemberRole::kControl && member.m_state <= MemberState::kLeft;
}

bool IsValid(const Piggyback& piggyback) noexcept {
  return piggyback.m_digests.size() <= kMaxDigests && piggyback.m_updates.size() <= kMaxUpdatesPerMessage &&
         std::all_of(piggyback.m_updates.begin(), piggyback.m_updates.end(),
                     [](const MemberUpdate& update) { return IsValid(update); });
}

template <typename T>
Result<T> DecodeChecked(std::span<const std::byte> payload) {
  Result<T> message = wire::Decode<T>(payload);
  if (IsOk(message) && !IsValid(ValueOf(message).m_piggyback))
    return MakeError(ErrorCode::kMessageMalformed, "invalid member update or too many entries");
  return message;
}

}  // namespace

Result<ProbeMessage> DecodeProbe(std::span<const std::byte> payload) { return DecodeChecked<ProbeMessage>(payload); }

Result<ProbeAckMessage> DecodeProbeAck(std::span<const std::byte> payload) {
  return DecodeChecked<ProbeAckMessage>(payload);
}

Result<ProbeRequestMessage> DecodeProbeRequest(std::span<const std::byte> payload) {
  return DecodeChecked<ProbeRequestMessage>(payload);
}

Result<MemberListMessage> DecodeMemberList(std::span<const std::byte> payload) {
  Result<MemberListMessage> message = DecodeChecked<MemberListMessage>(payload);
  if (IsOk(message) && ValueOf(message).m_requested_lists.size() > kMaxDigests)
    return MakeError(ErrorCode::kMessageMalformed, "too many member lists requested");
  return message;
}

std::vector<std::byte> Encode(const ProbeMessage& message) { return wire::Encode(message); }
std::vector<std::byte> Encode(const ProbeAckMessage& message) { return wire::Encode(message); }
std::vector<std::byte> Encode(const ProbeRequestMessage& message) { return wire::Encode(message); }
std::vector<std::byte> Encode(const MemberListMessage& message) { return wire::Encode(message); }

}  // namespace fighatch::membership
