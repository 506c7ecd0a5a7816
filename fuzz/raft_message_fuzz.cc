#include <cstdint>
#include <span>

#include "fighatch/raft_node.h"

// Decodes arbitrary bytes as a sequence of messages between control hosts and passes them to one `RaftNode`. All
// messages that the node sends must decode again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using fighatch::HostId;
  using fighatch::kFoundingDiskId;
  fighatch::StoredLog stored;
  stored.m_identity.m_self = {HostId{1}, kFoundingDiskId};
  for (std::uint32_t host = 1; host <= 3; ++host) {
    stored.m_identity.m_founding_configuration.m_members.push_back({{HostId{host}, kFoundingDiskId}, true});
  }
  fighatch::TimePoint now;
  fighatch::RaftNode node(fighatch::RaftOptions{}, stored, now, fighatch::Random(1));
  std::uint64_t writes = 0;
  std::span<const std::byte> rest(reinterpret_cast<const std::byte*>(data), size);
  while (!rest.empty()) {
    const std::size_t length = std::min<std::size_t>(std::to_integer<std::size_t>(rest[0]) * 4, rest.size() - 1);
    const auto message = fighatch::DecodeRaftMessage(rest.subspan(1, length));
    rest = rest.subspan(1 + length);
    now += std::chrono::milliseconds(100);
    node.Tick(now);
    if (fighatch::IsOk(message)) {
      fighatch::RaftMessage addressed = fighatch::ValueOf(message);
      addressed.m_to = node.Self();
      node.Receive(now, addressed);
    }
    // Every second write takes until the next message.
    if (writes % 2 == 1) node.OnPersisted(now);
    const fighatch::RaftOutput output = node.TakeOutput();
    if (output.HasDataToPersist() && ++writes % 2 == 0) node.OnPersisted(now);
    for (const fighatch::RaftMessage& sent : output.m_messages) {
      if (!fighatch::IsOk(fighatch::DecodeRaftMessage(fighatch::EncodeRaftMessage(sent)))) __builtin_trap();
    }
  }
  return 0;
}
