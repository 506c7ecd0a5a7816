#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fighatch/routing_log.h"
#include "port_reader.h"

namespace fighatch {
namespace {

using testing_support::DrawDataCentreCommand;
using testing_support::DrawPorts;
using testing_support::MakeDocument;
using testing_support::PortReader;

constexpr std::size_t kHosts = 3;
constexpr std::size_t kFollowers = 4;

// A control host: what its process holds, and the part of it that outlasts a restart.
struct ControlHost {
  std::unique_ptr<RoutingLog> m_log;
  LogIndex m_applied = 0;
  std::string m_snapshot;
  LogIndex m_snapshot_index = 0;
};

// Control hosts that apply one committed log at their own pace, and balancers that ask any of them.
class RoutingGroup {
 public:
  explicit RoutingGroup(std::uint64_t seed) : m_random(seed) {
    for (ControlHost& host : m_hosts) host.m_log = std::make_unique<RoutingLog>(&m_reader);
  }

  // Returns false if a follower holds a state that was never published under its index.
  [[nodiscard]] bool Step() {
    ControlHost& host = DrawHost();
    switch (m_random.Below(12)) {
      case 0:
      case 1:
      case 2:
        Commit();
        break;
      case 3:
      case 4:
      case 5:
        ApplyEntries(&host, m_random.Below(4));
        break;
      case 6:
        host.m_snapshot = host.m_log->EncodeSnapshot();
        host.m_snapshot_index = host.m_applied;
        break;
      case 7:
        if (m_random.Below(3) == 0) RestartAll();
        if (m_random.Below(2) == 0) Restart(&host);
        break;
      case 8:
        if (m_random.Below(4) == 0) LoseDisk(&host);
        break;
      case 9:
        InstallSnapshot(&host, DrawHost());
        break;
      default:
        return Follow(&m_followers[m_random.Below(kFollowers)], host);
    }
    return true;
  }

  // Returns false if a follower differs from the control hosts although these have applied the whole log.
  [[nodiscard]] bool Converges() {
    for (ControlHost& host : m_hosts) ApplyEntries(&host, m_entries.size());
    return std::all_of(m_followers.begin(), m_followers.end(), [this](PublishedState& follower) {
      return Follow(&follower, m_hosts[0]) && follower.m_index == m_reference.Published()->m_index;
    });
  }

 private:
  ControlHost& DrawHost() { return m_hosts[m_random.Below(kHosts)]; }

  void Commit() {
    RoutingCommand command = DrawDataCentreCommand(&m_random);
    if (m_random.Below(5) < 3) command = MakeDocument(m_version += m_random.Below(3), DrawPorts(&m_random));
    if (m_random.Below(20) == 0) command = DocumentCommand{m_version + 1, "x"};
    m_entries.push_back(command);
    (void)m_reference.Apply(m_entries.size(), command);
    m_published[m_reference.Published()->m_index] = m_reference.Published();
  }

  void ApplyEntries(ControlHost* host, std::size_t count) {
    const LogIndex end = std::min<LogIndex>(host->m_applied + count, m_entries.size());
    while (host->m_applied < end) {
      const LogIndex index = ++host->m_applied;
      (void)host->m_log->Apply(index, m_entries[index - 1]);
    }
  }

  // The commit mark on disk may lag behind what the host had applied.
  void Restart(ControlHost* host) {
    const LogIndex known = host->m_applied - m_random.Below(host->m_applied - host->m_snapshot_index + 1);
    host->m_log = std::make_unique<RoutingLog>(&m_reader);
    if (!host->m_snapshot.empty()) (void)host->m_log->Restore(std::as_bytes(std::span(host->m_snapshot)));
    std::vector<std::pair<LogIndex, RoutingCommand>> commands;
    for (LogIndex index = host->m_snapshot_index + 1; index <= known; ++index) {
      commands.emplace_back(index, m_entries[index - 1]);
    }
    (void)host->m_log->Replay(commands);
    host->m_applied = known;
  }

  void RestartAll() {
    for (ControlHost& host : m_hosts) Restart(&host);
  }

  void LoseDisk(ControlHost* host) {
    *host = {};
    host->m_log = std::make_unique<RoutingLog>(&m_reader);
  }

  // A host that is behind gets the snapshot of another one while it runs.
  static void InstallSnapshot(ControlHost* host, const ControlHost& source) {
    if (source.m_snapshot_index <= host->m_applied) return;
    (void)host->m_log->Restore(std::as_bytes(std::span(source.m_snapshot)));
    host->m_snapshot = source.m_snapshot;
    host->m_applied = host->m_snapshot_index = source.m_snapshot_index;
  }

  [[nodiscard]] bool Follow(PublishedState* follower, const ControlHost& host) const {
    const UpdateOutcome outcome = ApplyUpdate(host.m_log->UpdateFrom(follower->Position()), follower);
    if (outcome == UpdateOutcome::kDigestMismatch || outcome == UpdateOutcome::kOtherBase) return false;
    if (follower->m_index == 0) return true;
    const PublishedState& published = *m_published.at(follower->m_index);
    return follower->Position() == published.Position() && follower->m_routing == published.m_routing &&
           follower->m_data_centres_out == published.m_data_centres_out;
  }

  Random m_random;
  PortReader m_reader;
  std::uint64_t m_version = 1;
  std::vector<RoutingCommand> m_entries;
  // Applies the whole log entry by entry, and what it published under each index.
  RoutingLog m_reference{&m_reader};
  std::map<LogIndex, std::shared_ptr<const PublishedState>> m_published;
  std::array<ControlHost, kHosts> m_hosts;
  std::array<PublishedState, kFollowers> m_followers;
};

// Guards against a balancer that keeps a removed route: a control host that had replayed its log made differences from
// states that were never published, such as a data centre command on top of a document from before the replay.
RC_GTEST_PROP(RoutingLogRestartProperty, FollowersHoldWhatWasPublishedUnderTheirIndex, (std::uint64_t seed)) {
  RoutingGroup group(seed);
  for (int step = 0; step < 1000; ++step) RC_ASSERT(group.Step());
  RC_ASSERT(group.Converges());
}

}  // namespace
}  // namespace fighatch
