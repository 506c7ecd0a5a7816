#ifndef FIGHATCH_ALLOWANCE_HOLDER_H_
#define FIGHATCH_ALLOWANCE_HOLDER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fighatch/lease_message.h"
#include "fighatch/lease_times.h"
#include "fighatch/target_allowance.h"

namespace fighatch {

/// Holds the tokens that a balancer leases from the coordinator, and takes one for each request that the balancer sends
/// to a target. Leases are timed by this host's clock alone, and the holder follows one coordinator at a time. Grants
/// that do not answer a recent request are ignored.
///
/// \code
/// holder.Follow(coordinator_host, now);
/// if (auto request = holder.Poll(now)) Send(holder.Grantor(), *request);  // every 50 ms and after ReportDemand
/// holder.OnGrant(grant, now);
/// if (holder.Take(target, now)) Dispatch();
/// \endcode
class AllowanceHolder : public TargetAllowance {
 public:
  AllowanceHolder(HostId host, Incarnation incarnation) : m_host(host), m_incarnation(incarnation) {}

  [[nodiscard]] std::uint32_t Available(TargetId target, TimePoint now) const override;
  [[nodiscard]] bool Take(TargetId target, TimePoint now) override;
  void Return(TargetId target, TimePoint now) override;
  void ReportDemand(ServiceId service, std::uint32_t waiting, TimePoint now) override;

  /// Records that a request ended at the target after `latency`; `shed` is true if the target refused it.
  void OnOutcome(TargetId target, Duration latency, bool shed);

  /// Records that the target runs as this incarnation; tokens that were granted for another one are not used.
  void OnTargetIncarnation(TargetId target, Incarnation incarnation);

  /// Sets the coordinator from which leases are requested, as elected by the member list.
  void Follow(HostId grantor, TimePoint now);

  /// Sets what requests report to the coordinator: a digest of the members that this host knows, and those that are
  /// missing.
  void SetMembers(std::uint32_t digest, std::vector<HostId> missing);

  /// Returns the request that is due, if any.
  [[nodiscard]] std::optional<LeaseRequest> Poll(TimePoint now);

  /// Applies a grant. One that does not answer a recent request of the current binding is ignored.
  void OnGrant(const LeaseGrant& grant, TimePoint now);

  [[nodiscard]] HostId Grantor() const noexcept { return m_grantor; }

 private:
  struct Token {
    std::uint16_t m_number = 0;
    Incarnation m_target_incarnation;
    /// Send time of the request whose grant last renewed the token; the lease term counts from it.
    TimePoint m_lease_start;
    bool m_in_use = false;
    bool m_revoked = false;
  };
  /// The tokens of one target, and the outcomes to report with the next request.
  struct TargetLease {
    std::vector<Token> m_tokens;
    std::optional<Incarnation> m_incarnation;
    std::uint32_t m_sheds = 0;
    std::uint32_t m_ended = 0;
    Duration m_latency_sum{};
  };
  struct SentRequest {
    std::uint64_t m_sequence = 0;
    TimePoint m_sent_at;
  };

  [[nodiscard]] static bool IsUsable(const TargetLease& lease, const Token& token, TimePoint now) noexcept;
  [[nodiscard]] std::optional<TimePoint> RequestSentAt(std::uint64_t sequence) const;
  [[nodiscard]] bool IsDue(TimePoint now) const;
  void Bind(HostId grantor, std::uint64_t epoch);
  void ApplyDecision(const LeaseGrant& grant, TimePoint lease_start);
  void ApplyTokens(const TokenGrant& grant, TimePoint lease_start);
  void DropExpired(TimePoint now);
  void ReportUses(LeaseRequest* request);

  HostId m_host;
  Incarnation m_incarnation;
  HostId m_grantor;
  std::uint64_t m_epoch = 0;
  std::uint32_t m_binding = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_applied_sequence = 0;
  std::uint64_t m_echoed_time_ms = 0;
  std::uint32_t m_members_digest = 0;
  std::vector<HostId> m_missing;
  std::map<TargetId, TargetLease> m_target_leases;
  std::map<ServiceId, std::uint32_t> m_waiting;
  std::array<SentRequest, 8> m_sent_requests{};
  TimePoint m_last_poll;
  bool m_polled = false;
  bool m_early_request = false;
};

}  // namespace fighatch

#endif  // FIGHATCH_ALLOWANCE_HOLDER_H_
