#ifndef FIGHATCH_BENCH_FLOW_CLUSTER_H_
#define FIGHATCH_BENCH_FLOW_CLUSTER_H_

#include <memory>
#include <vector>

#include "fighatch/random.h"
#include "flow_fixture.h"

namespace fighatch::bench {

/// Balancers that forward packets and records to each other without delay, under virtual time. Counts the bytes of the
/// record messages and their acknowledgements.
class BenchCluster {
 public:
  BenchCluster(std::uint32_t targets, std::uint32_t balancers, std::size_t capacity)
      : m_fixture(1, targets, balancers), m_capacity(capacity) {
    for (std::uint32_t host = 1; host <= balancers; ++host) AddDecider();
    UpdateTables();
  }

  [[nodiscard]] FlowFixture& Fixture() noexcept { return m_fixture; }
  [[nodiscard]] OwnerTable& Table() noexcept { return m_fixture.m_tables[0]; }
  [[nodiscard]] FlowDecider& Decider(std::uint32_t host) { return *m_deciders[host - 1]; }
  [[nodiscard]] std::uint64_t Bytes() const noexcept { return m_bytes; }
  [[nodiscard]] std::uint64_t RecordsSent() const noexcept { return m_records_sent; }

  void AddDecider() {
    FlowDeciderOptions options;
    options.m_transfer.m_self = HostId{static_cast<std::uint32_t>(m_deciders.size() + 1)};
    options.m_transfer.m_bulk_bytes_per_second = 16 * 1024 * 1024;
    options.m_record_capacity = m_capacity;
    m_deciders.push_back(std::make_unique<FlowDecider>(options));
    m_dead.push_back(false);
  }
  void Kill(std::uint32_t host) { m_dead[host - 1] = true; }

  void UpdateTables() {
    ++m_fixture.m_tables[0].m_version.m_generation;
    for (std::uint32_t host = 1; host <= m_deciders.size(); ++host) {
      if (!m_dead[host - 1]) Decider(host).SetTable(m_fixture.Build(host), AtMs(m_now_ms));
    }
  }
  /// Advances time in steps of 10 ms and delivers the record messages.
  void Run(std::int64_t milliseconds) {
    for (const std::int64_t end = m_now_ms + milliseconds; m_now_ms < end; m_now_ms += 10) DeliverRecordMessages();
  }
  void DeliverRecordMessages() {
    for (std::uint32_t host = 1; host <= m_deciders.size(); ++host) {
      if (m_dead[host - 1]) continue;
      for (const OutgoingRecords& send : Decider(host).Tick(AtMs(m_now_ms))) {
        m_bytes += EncodeFlowRecords(send.m_message).size();
        m_records_sent += send.m_message.m_records.size();
        if (m_dead[send.m_host.m_value - 1]) continue;
        const FlowRecordsAck ack = Decider(send.m_host.m_value).OnRecords(send.m_message, AtMs(m_now_ms));
        m_bytes += EncodeFlowRecordsAck(ack).size();
        Decider(host).OnAck(ack);
      }
    }
  }
  /// Sends a packet to a random live balancer and follows it to its target. Returns target 0 if it is dropped.
  TargetId Send(Packet packet) {
    std::uint32_t host = 0;
    do {
      host = static_cast<std::uint32_t>(1 + m_random.Below(m_deciders.size()));
    } while (m_dead[host - 1]);
    for (;;) {
      if (m_dead[host - 1]) return TargetId{};
      Decider(host).SetContact({AtMs(m_now_ms), AtMs(m_now_ms), HostId{}});
      const Decision decision = Decider(host).Decide(packet, AtMs(m_now_ms));
      if (decision.m_kind == DecisionKind::kTarget) return decision.m_target;
      if (decision.m_kind != DecisionKind::kBalancer) return TargetId{};
      host = decision.m_balancer.m_value;
      packet.m_reason = decision.m_reason;
      ++packet.m_hop_count;
    }
  }

 private:
  FlowFixture m_fixture;
  std::size_t m_capacity;
  std::vector<std::unique_ptr<FlowDecider>> m_deciders;
  std::vector<bool> m_dead;
  Random m_random{7};
  std::int64_t m_now_ms = 10'000;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_records_sent = 0;
};

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_FLOW_CLUSTER_H_
