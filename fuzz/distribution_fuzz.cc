// Feeds arbitrary payloads to a receiver and a distributor, as a member with the key could send them; the first byte
// chooses the message type. The version must not go down, and no message may exceed a datagram.

#include <cstdint>
#include <cstdlib>

#include "fighatch/state_distributor.h"
#include "fighatch/state_receiver.h"

namespace {

class NullStateMachine : public fighatch::StateMachine {
 public:
  fighatch::Status ApplyDelta(fighatch::Version, std::span<const std::byte>) override { return fighatch::OkStatus(); }
  fighatch::Status LoadSnapshot(fighatch::Version, std::span<const std::byte>) override { return fighatch::OkStatus(); }
  std::vector<std::byte> Snapshot() const override { return std::vector<std::byte>(5000); }
  std::uint64_t Digest() const override { return 1; }
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fighatch;  // NOLINT(google-build-using-namespace)
  if (size == 0) return 0;
  NullStateMachine machine;
  StateHistory history(&machine, {1, 1});
  StateReceiver receiver(&history, Random(1));
  receiver.SetFallbackPeers({{{3}, {}}});
  StateDistributor distributor({1}, &history, false);
  distributor.SetNeighbours({StatePeer{{4}, {}}, {{{2}, {}}}, {}});
  const auto type = static_cast<MessageType>(16 + data[0] % 5);
  const auto payload = std::as_bytes(std::span(data + 1, size - 1));
  TimePoint now{std::chrono::seconds(1)};
  Version version = history.CurrentVersion();
  for (int round = 0; round < 4; ++round) {
    if (StateReceiver::Handles(type)) (void)receiver.Receive(now, {2}, {}, type, payload);
    if (StateDistributor::Handles(type)) (void)distributor.Receive(now, {2}, {}, type, payload);
    now += std::chrono::milliseconds(300);
    (void)receiver.Tick(now);
    for (const OutgoingMessage& message : distributor.Tick(now).m_messages)
      if (message.m_payload.size() > 1134) std::abort();
    if (history.CurrentVersion() < version) std::abort();
    version = history.CurrentVersion();
  }
  return 0;
}
