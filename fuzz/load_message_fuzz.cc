#include <cstdint>
#include <span>

#include "fighatch/load_view.h"

// Decodes arbitrary bytes as each message about load beside the load report. A decoded message must decode again to the
// same message after it has been encoded, and a view that took it must be able to encode its own summary.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::span<const std::byte> bytes(reinterpret_cast<const std::byte*>(data), size);
  const fighatch::TimePoint now(std::chrono::seconds(1));
  fighatch::LoadView view({fighatch::HostId{1}, "a"});
  view.SetShortOfRoom(now, true);
  if (const auto load = fighatch::DecodeOfferedLoad(bytes); fighatch::IsOk(load)) {
    const auto again = fighatch::DecodeOfferedLoad(EncodeOfferedLoad(fighatch::ValueOf(load)));
    if (!fighatch::IsOk(again) || !(fighatch::ValueOf(again) == fighatch::ValueOf(load))) __builtin_trap();
    view.SetBalancers(now, {{fighatch::HostId{1}, "a"}, {fighatch::ValueOf(load).m_from, "a"}});
    (void)view.Receive(now, fighatch::ValueOf(load));
  }
  if (const auto summary = fighatch::DecodeLoadSummary(bytes); fighatch::IsOk(summary)) {
    const auto again = fighatch::DecodeLoadSummary(EncodeLoadSummary(fighatch::ValueOf(summary)));
    if (!fighatch::IsOk(again) || !(fighatch::ValueOf(again) == fighatch::ValueOf(summary))) __builtin_trap();
    (void)view.Receive(now, fighatch::ValueOf(summary));
    (void)view.RemoteFlows();
    (void)view.DemandOf("desk");
  }
  if (!fighatch::IsOk(fighatch::DecodeLoadSummary(EncodeLoadSummary(view.MakeSummary(now, {}, {}))))) __builtin_trap();
  return 0;
}
