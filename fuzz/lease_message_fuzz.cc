#include <cstdint>
#include <cstdlib>
#include <span>

#include "fighatch/allowance_grantor.h"
#include "fighatch/allowance_holder.h"
#include "wire/codec.h"

namespace {

using fighatch::AllowanceGrantor;
using fighatch::AllowanceHolder;
using fighatch::HostId;
using fighatch::Incarnation;
using fighatch::TimePoint;

constexpr std::uint64_t kEpoch = 1;

// A decoded request must neither crash the grantor nor make it answer under another host id or epoch.
void FeedGrantor(std::span<const std::byte> bytes) {
  const auto request = fighatch::wire::Decode<fighatch::LeaseRequest>(bytes);
  if (!fighatch::IsOk(request)) return;
  const TimePoint now{std::chrono::seconds(100)};
  AllowanceGrantor grantor(HostId{1}, kEpoch, {{HostId{1}}, {HostId{2}}}, 0, 7, now);
  fighatch::TargetInfo target;
  target.m_id = {5};
  target.m_slots = 2;
  grantor.SetAllowance(target, 2);
  for (int round = 0; round < 2; ++round) {
    const auto grant = grantor.OnRequest(fighatch::ValueOf(request), now + std::chrono::seconds(round));
    if (grant && (grant->m_grantor != HostId{1} || grant->m_epoch != kEpoch)) std::abort();
  }
}

void FeedHolder(std::span<const std::byte> bytes) {
  const auto grant = fighatch::wire::Decode<fighatch::LeaseGrant>(bytes);
  if (!fighatch::IsOk(grant)) return;
  const TimePoint now{std::chrono::seconds(100)};
  AllowanceHolder holder(HostId{2}, Incarnation{1});
  holder.Follow(HostId{1}, now);
  for (int round = 0; round < 2; ++round) {
    (void)holder.Poll(now + std::chrono::seconds(round));
    holder.OnGrant(fighatch::ValueOf(grant), now + std::chrono::seconds(round));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto bytes = std::as_bytes(std::span(data, size));
  FeedGrantor(bytes);
  FeedHolder(bytes);
  return 0;
}
