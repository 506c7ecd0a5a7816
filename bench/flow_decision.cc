// Measures the cost of a decision for packets of settled slots while records are held, against only an XXH3 hash of the
// flow key and one table read in the same run; the memory per flow record; and the build time and size of tables.
#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include "fighatch/hash.h"
#include "flow_fixture.h"
#include "report.h"

namespace fighatch::bench {
namespace {

constexpr std::uint32_t kPackets = 1U << 16U;
constexpr int kRounds = 15;

std::vector<Packet> SettledPackets() {
  std::vector<Packet> packets;
  packets.reserve(kPackets);
  for (std::uint32_t number = 0; number < kPackets; ++number) packets.push_back(PacketOf(number, PacketKind::kLater));
  return packets;
}

/// A decider with this many records, all of a second service, as after a change of every slot of that service.
FlowDecider DeciderWith(std::size_t records) {
  FlowFixture fixture(2, 15, 1);
  FlowDeciderOptions options;
  options.m_transfer.m_self = HostId{1};
  options.m_record_capacity = records;
  FlowDecider decider(options);
  decider.SetTable(fixture.Build(1), AtMs(0));
  decider.SetContact({AtMs(0), AtMs(0), HostId{}});
  FlowRecordsMessage message;
  for (std::size_t number = 0; number < records; ++number) {
    message.m_records.push_back({MixHash(number, 1), TargetId{2000001}, ServiceId{2}, 0});
  }
  static_cast<void>(decider.OnRecords(message, AtMs(0)));
  return decider;
}

/// Nanoseconds per packet of the hash alone with one read of a table of 16,384 targets.
double HashOnlyNs(const std::vector<Packet>& packets, const std::vector<std::uint64_t>& targets, std::uint64_t* sink) {
  return 1e9 / kPackets * SecondsOf([&] {
           for (const Packet& packet : packets) *sink += targets[FlowHash(packet.m_key) & (targets.size() - 1)];
         });
}

/// Nanoseconds per packet of the hash and the decision.
double DecisionNs(std::vector<Packet>& packets, FlowDecider* decider, std::uint64_t* sink) {
  return 1e9 / kPackets * SecondsOf([&] {
           for (Packet& packet : packets) {
             packet.m_flow_hash = FlowHash(packet.m_key);
             *sink += decider->Decide(packet, AtMs(1)).m_target.m_value;
           }
         });
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

bool MeasureDecision() {
  std::vector<Packet> packets = SettledPackets();
  std::vector<std::uint64_t> targets(kDefaultHashSlots);
  for (std::size_t slot = 0; slot < targets.size(); ++slot) targets[slot] = slot;
  FlowDecider few = DeciderWith(10'000);
  FlowDecider half = DeciderWith(500'000);
  FlowDecider many = DeciderWith(1'000'000);
  std::uint64_t sink = 0;
  std::vector<double> bare, with_few, with_half, with_many;
  for (int round = 0; round < kRounds; ++round) {
    bare.push_back(HashOnlyNs(packets, targets, &sink));
    with_few.push_back(DecisionNs(packets, &few, &sink));
    with_half.push_back(DecisionNs(packets, &half, &sink));
    with_many.push_back(DecisionNs(packets, &many, &sink));
  }
  bool pass = Report("flow_decision_settled_500000", Median(with_half), "ns", std::nullopt, Median(bare));
  pass &= Report("flow_decision_settled_ratio", Median(with_half) / Median(bare), "ratio", 3.0, 1.0);
  pass &= Report("flow_decision_10000_to_1000000", Median(with_many) / Median(with_few), "ratio", 1.3, 1.0);
  const double bytes = static_cast<double>(half.Records().Bytes()) / static_cast<double>(half.Records().size());
  pass &= Report("flow_bytes_held", bytes, "B", 64);
  pass &= Report("flow_shard_fixed_bytes", static_cast<double>(half.Bytes() - half.Records().Bytes()), "B");
  return pass && sink != 0;
}

bool MeasureTables(std::uint32_t targets) {
  FlowFixture fixture(1, targets, 7);
  std::shared_ptr<const ForwardingTable> table;
  std::vector<double> settled_ms, learning_ms;
  for (int round = 0; round < 5; ++round) {
    settled_ms.push_back(1e3 * SecondsOf([&] { table = fixture.Build(1); }));
  }
  const std::string suffix = "_" + std::to_string(targets) + "_targets";
  const auto bytes = static_cast<double>(table->FindService(ServiceId{1})->Bytes());
  bool pass = Report("flow_table_build" + suffix, Median(settled_ms), "ms");
  pass &= Report("flow_table_bytes" + suffix, bytes, "B");
  std::vector<OwnerEntry> next = fixture.m_tables[0].m_current;
  next.push_back({fixture.AddTarget(1, targets + 1).m_value, 16});
  if (!BeginLearning(&fixture.m_tables[0], next)) return false;
  for (int round = 0; round < 5; ++round) {
    learning_ms.push_back(1e3 * SecondsOf([&] { table = fixture.Build(1); }));
  }
  const auto learning_bytes = static_cast<double>(table->FindService(ServiceId{1})->Bytes());
  pass &= Report("flow_table_build_learning" + suffix, Median(learning_ms), "ms");
  pass &= Report("flow_table_bytes_learning" + suffix, learning_bytes, "B");
  return pass;
}

/// Measures tables of many services with 13 targets each; the planned maximum is 10,000 services.
bool MeasureServices(std::uint32_t services, bool has_bound) {
  FlowFixture fixture(services, 13, 7);
  std::shared_ptr<const ForwardingTable> table;
  const double first_s = CpuSecondsOf([&] { table = fixture.Build(1); });
  constexpr std::size_t kChanges = 5;
  const double changes_s = CpuSecondsOf([&] {
    for (std::size_t change = 0; change < kChanges; ++change) {
      fixture.m_tables[change].m_current.pop_back();
      fixture.m_tables[change].m_base = fixture.m_tables[change].m_current;
      table = fixture.Build(1, table.get());
    }
  });
  const std::string suffix = "_" + std::to_string(services) + "_services";
  bool pass = Report("flow_table_build" + suffix, first_s, "s CPU");
  pass &= Report("flow_table_change_1_of" + suffix, 1e3 * changes_s / kChanges, "ms CPU");
  const auto bytes = static_cast<double>(table->Bytes());
  pass &= Report("flow_table_bytes" + suffix, bytes, "B", has_bound ? std::optional<double>(256e6) : std::nullopt);
  return pass;
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  using namespace fighatch::bench;  // NOLINT(google-build-using-namespace): the program's own namespace.
  bool pass = MeasureDecision();
  for (const std::uint32_t targets : {4U, 15U, 100U, 1000U}) pass &= MeasureTables(targets);
  // The full run builds the tables of the planned size, which takes longer than a quick run may.
  const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  for (const std::uint32_t services : {300U, 1000U, 3000U}) pass &= MeasureServices(services, false);
  if (!quick) pass &= MeasureServices(10'000, true);
  return pass ? 0 : 1;
}
