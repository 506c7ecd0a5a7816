#ifndef FIGHATCH_BENCH_TARGET_BENCH_H_
#define FIGHATCH_BENCH_TARGET_BENCH_H_

#include <cstdint>
#include <ctime>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fighatch/allowance_grantor.h"
#include "fighatch/allowance_holder.h"
#include "wire/codec.h"

namespace fighatch::bench {

/// Overhead of a message in bytes: IPv4 and UDP headers, and the header, nonce and tag of a sealed message.
inline constexpr std::size_t kEnvelopeBytes = 28 + 69;

/// Prints one result as a line of JSON. A result without a bound is for information only and counts as passed.
inline void Print(const std::string& name, double value, const std::string& unit, std::optional<double> bound,
                  std::optional<double> baseline) {
  std::cout << "{\"name\":\"" << name << "\",\"value\":" << value << ",\"unit\":\"" << unit << "\",\"bound\":";
  bound ? std::cout << *bound : std::cout << "null";
  std::cout << ",\"baseline\":";
  baseline ? std::cout << *baseline : std::cout << "null";
  std::cout << ",\"pass\":" << (!bound || value <= *bound ? "true" : "false") << "}" << std::endl;
}

/// Processor time of this process in seconds.
inline double CpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

/// One coordinator and its balancers, hosts 1 to n, without faults. Each holder renews its leases every 400 ms.
class LeaseCluster {
 public:
  LeaseCluster(std::uint32_t hosts, std::uint32_t targets, std::uint32_t slots) : m_targets(targets) {
    std::vector<LeaseMember> members;
    for (std::uint32_t id = 1; id <= hosts; ++id) {
      members.push_back({HostId{id}});
      m_holders.push_back(std::make_unique<AllowanceHolder>(HostId{id}, Incarnation{1ULL << 40U}));
      m_holders.back()->Follow(HostId{1}, m_now);
      m_holders.back()->SetMembers(1, {});
    }
    m_grantor = std::make_unique<AllowanceGrantor>(HostId{1}, 1ULL << 33U, members, 1, 7, m_now);
    for (std::uint32_t index = 0; index < targets; ++index) {
      m_targets[index].m_id = {0x9E3779B97F4A7C15ULL * (index + 1)};
      m_targets[index].m_service = {1 + index / kTargetsPerService};
      m_targets[index].m_incarnation = {1ULL << 40U};
      m_targets[index].m_slots = slots;
      m_grantor->SetAllowance(m_targets[index], slots);
    }
  }

  /// Advances by 20 ms: every holder polls; requests and grants arrive at once.
  void Step() {
    for (auto& holder : m_holders) {
      const auto request = holder->Poll(m_now);
      if (!request) continue;
      m_request_bytes += wire::Encode(*request).size() + kEnvelopeBytes;
      const auto grant = m_grantor->OnRequest(*request, m_now);
      if (!grant) continue;
      m_grant_bytes += wire::Encode(*grant).size() + kEnvelopeBytes;
      ++m_rounds;
      holder->OnGrant(*grant, m_now);
    }
    m_now += std::chrono::milliseconds(20);
  }
  void Run(Duration span) {
    for (const TimePoint end = m_now + span; m_now < end;) Step();
  }

  static constexpr std::uint32_t kTargetsPerService = 15;
  TimePoint m_now{std::chrono::seconds(1000)};
  std::vector<std::unique_ptr<AllowanceHolder>> m_holders;
  std::unique_ptr<AllowanceGrantor> m_grantor;
  std::vector<TargetInfo> m_targets;
  std::uint64_t m_request_bytes = 0;
  std::uint64_t m_grant_bytes = 0;
  std::uint64_t m_rounds = 0;
};

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_TARGET_BENCH_H_
