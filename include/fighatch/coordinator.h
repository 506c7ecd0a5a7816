#ifndef FIGHATCH_COORDINATOR_H_
#define FIGHATCH_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fighatch/allowance_grantor.h"
#include "fighatch/member.h"
#include "fighatch/ramp.h"
#include "fighatch/state_document.h"
#include "fighatch/table_publication.h"
#include "fighatch/target_registry.h"

namespace fighatch {

/// Identity of the host that runs the coordinator, and the idle time after which a base list is retired.
struct CoordinatorConfig {
  HostId m_host;
  DataCentreId m_data_centre;
  Incarnation m_incarnation;
  Duration m_base_idle_limit = kDefaultBaseIdleLimit;
};

/// Messages that the caller has to send.
struct CoordinatorActions {
  std::vector<TableSend> m_updates;
  std::vector<AckSend> m_acks;
};

/// Runs on every balancer and is active on the elected one: the live balancer with the lowest host id of its data
/// centre. The active coordinator publishes the owner tables of its data centre, publishes those of level 1 too if it
/// has the lowest host id among the coordinators of its region, and grants leases on target tokens to the balancers. It
/// also relays the tables of other data centres to its own balancers. Every host reports the table versions that a new
/// publisher may not know. The class does no I/O: the caller delivers messages and the time, and sends what `Tick`
/// returns.
///
/// \code
/// coordinator.SetMembers(members, now);           // when the member list changes
/// coordinator.SetState(state, now);               // when the state document changes
/// auto actions = coordinator.Tick(registry, now); // every 50 ms
/// for (const TableSend& send : actions.m_updates) Send(send.m_to, send.m_update);
/// \endcode
class Coordinator {
 public:
  Coordinator(const CoordinatorConfig& config, Random* random);

  void SetMembers(std::vector<Member> members, TimePoint now);
  void SetState(const StateDocument& state, TimePoint now);

  /// Handles a table update that this host received. Returns true if this host relays it: the caller then passes the
  /// host's own acknowledgement to `OnAck` instead of sending it to the sender.
  bool OnTableUpdate(const TableUpdate& update, HostId from, TimePoint now);

  /// Handles an acknowledgement of any host, this one included.
  void OnAck(const TableAck& ack, TimePoint now);

  /// Answers a lease request and applies its reports of sheds and latency to the ramps.
  [[nodiscard]] std::optional<LeaseGrant> OnLeaseRequest(const LeaseRequest& request, TimePoint now);

  /// Advances the election, the ramps and the tables, and returns the messages that are due.
  [[nodiscard]] CoordinatorActions Tick(const TargetRegistry& registry, TimePoint now);

  /// The coordinator of this data centre as this host sees it; lease requests and target facts go to it.
  [[nodiscard]] HostId Elected() const;
  [[nodiscard]] bool IsActive() const noexcept { return m_active != nullptr; }
  [[nodiscard]] bool IsRegionCoordinator() const;
  /// The epoch under which this host publishes and grants; 0 while another host is elected.
  [[nodiscard]] std::uint64_t Epoch() const noexcept { return m_active ? m_active->m_epoch : 0; }

  /// Digest of the members of this data centre, for `AllowanceHolder::SetMembers`.
  [[nodiscard]] std::uint32_t MembersDigest() const;
  /// Members of this data centre that the member list declares dead, for `AllowanceHolder::SetMembers`.
  [[nodiscard]] std::vector<HostId> MissingMembers() const;

  /// The newest table of a service that this host knows; null if there is none. Data centre 0 stands for level 1.
  [[nodiscard]] const TableUpdate* KnownTable(ServiceId service, DataCentreId data_centre) const;

 private:
  using TableKey = std::pair<ServiceId, DataCentreId>;

  /// Records of the live targets of one service.
  using LiveTargets = std::vector<const TargetRecord*>;

  /// A table that this host stopped publishing, until its successor has published a newer version.
  struct RelinquishedTable {
    Version m_version;
    ResendTracker m_resend;
  };
  /// Schedule of the version reports to the publisher of a data centre's tables.
  struct VersionReport {
    HostId m_publisher;
    TimePoint m_since;
    TimePoint m_next;
  };
  struct DataCentreRamp {
    DataCentreState m_state = DataCentreState::kIn;
    std::size_t m_step = 0;
    TimePoint m_step_since;
  };
  /// State that exists only on the elected host.
  struct Active {
    Active(std::uint64_t epoch, AllowanceGrantor grantor, TimePoint now)
        : m_epoch(epoch), m_since(now), m_grantor(std::move(grantor)) {}

    std::uint64_t m_epoch;
    TimePoint m_since;
    AllowanceGrantor m_grantor;
    std::map<TableKey, TablePublication> m_tables;
    std::map<TargetId, Ramp> m_ramps;
    /// When targets ceased to be live. Their tokens are kept for `kMaxUnreportedUseTime` after that.
    std::map<TargetId, TimePoint> m_retired;
  };

  void ForgetAcks(HostId host);
  [[nodiscard]] std::vector<LeaseMember> LeaseMembers() const;
  [[nodiscard]] std::set<HostId> LocalBalancers() const;
  [[nodiscard]] std::optional<HostId> LowestBalancer(DataCentreId data_centre) const;
  [[nodiscard]] const DataCentre* FindDataCentre(DataCentreId id) const;
  [[nodiscard]] std::vector<const DataCentre*> Region() const;
  [[nodiscard]] std::set<HostId> Receivers() const;

  void Elect(TimePoint now);
  /// Stops publishing tables. Their versions are reported to the new publisher, which may not know them.
  void RelinquishTables(const std::function<bool(DataCentreId)>& yields);
  void ReportRelinquished(TimePoint now, std::vector<AckSend>* acks);
  /// Reports the known table versions to a publisher that this host did not follow before.
  void ReportVersions(TimePoint now, std::vector<AckSend>* acks);
  void ReportVersionsOf(DataCentreId data_centre, HostId publisher, std::vector<AckSend>* acks) const;
  /// The host that sends the tables of a data centre to this host.
  [[nodiscard]] std::optional<HostId> TableSourceOf(DataCentreId data_centre) const;
  [[nodiscard]] std::optional<HostId> RegionCoordinator() const;
  void StartNewEpoch(TimePoint now);
  [[nodiscard]] std::uint64_t NextEpoch() const;
  /// True if a table that this host has to publish is known under a higher epoch than its own.
  [[nodiscard]] bool IsEpochSuperseded(bool region) const;
  TablePublication& PublicationOf(const TableKey& key);

  void UpdateRamps(const TargetRegistry& registry, TimePoint now);
  void UpdateRamp(const TargetRecord& record, TimePoint now);
  void RetireTargets(const TargetRegistry& registry, TimePoint now);
  [[nodiscard]] std::optional<std::size_t> PublishedRampStep(const TargetInfo& info) const;
  void SetAllowances(const TargetRegistry& registry, TimePoint now);

  void PublishTargets(ServiceId service, const LiveTargets& live, const TargetRegistry& registry,
                      const std::set<HostId>& receivers, TimePoint now);
  /// True if no target of the service is serving, healthy and recently announced.
  [[nodiscard]] static bool HasNoHealthyTarget(const LiveTargets& live, const TargetRegistry& registry, TimePoint now);
  [[nodiscard]] std::vector<OwnerEntry> WantedTargets(const LiveTargets& live, const OwnerTable& table,
                                                      const TargetRegistry& registry, TimePoint now) const;
  void RemoveDeadTargets(TablePublication* publication, const TargetRegistry& registry, TimePoint now);
  [[nodiscard]] bool IsInGracePeriod(TargetId target, const TargetRegistry& registry, TimePoint now) const;
  [[nodiscard]] static std::vector<TargetInfo> OwnerTargets(const TablePublication& publication,
                                                            const TargetRegistry& registry);

  void PublishDataCentres(const Service& service, const std::set<HostId>& receivers, TimePoint now);
  void UpdateDataCentreRamps(TimePoint now);
  [[nodiscard]] std::vector<OwnerEntry> WantedDataCentres(const Service& service) const;

  CoordinatorConfig m_config;
  Random* m_random;
  std::vector<Member> m_members;
  std::map<HostId, Incarnation> m_incarnations;
  StateDocument m_state;
  std::map<DataCentreId, DataCentreRamp> m_data_centre_ramps;
  std::map<TableKey, TableUpdate> m_known;
  std::map<TableKey, RelinquishedTable> m_relinquished;
  std::map<DataCentreId, VersionReport> m_reports;
  std::uint64_t m_highest_epoch = 0;
  std::unique_ptr<Active> m_active;
  TableRelay m_relay;
};

}  // namespace fighatch

#endif  // FIGHATCH_COORDINATOR_H_
