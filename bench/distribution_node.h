#ifndef FIGHATCH_BENCH_DISTRIBUTION_NODE_H_
#define FIGHATCH_BENCH_DISTRIBUTION_NODE_H_

#include <cstring>
#include <iterator>
#include <stdexcept>
#include <utility>
#include <vector>

#include "fighatch/hash.h"
#include "fighatch/state_distributor.h"
#include "fighatch/state_receiver.h"
#include "virtual_network.h"

namespace fighatch::bench {

/// A state machine whose state is a hash over all deltas applied, with snapshots of a chosen size in bytes.
class FakeStateMachine : public StateMachine {
 public:
  explicit FakeStateMachine(std::size_t snapshot_bytes) : m_snapshot_bytes(snapshot_bytes) {}

  Status ApplyDelta(Version to, std::span<const std::byte> delta) override {
    m_value = MixHash(m_value, HashBytes(delta, to.m_generation));
    return OkStatus();
  }
  Status LoadSnapshot(Version, std::span<const std::byte> snapshot) override {
    if (snapshot.size() < sizeof(m_value)) return MakeError(ErrorCode::kMessageMalformed, "snapshot is too short");
    std::memcpy(&m_value, snapshot.data(), sizeof(m_value));
    return OkStatus();
  }
  std::vector<std::byte> Snapshot() const override {
    std::vector<std::byte> bytes(std::max(m_snapshot_bytes, sizeof(m_value)));
    std::memcpy(bytes.data(), &m_value, sizeof(m_value));
    return bytes;
  }
  std::uint64_t Digest() const override { return m_value; }

 private:
  std::size_t m_snapshot_bytes;
  std::uint64_t m_value = 0;
};

/// A host with a receiver, unless it is a control host, and a distributor over one history. It does what their actions
/// ask for.
class DistributionNode {
 public:
  DistributionNode(HostId self, bool is_control, std::uint64_t seed, std::size_t snapshot_bytes = 3000)
      : m_is_control(is_control),
        m_machine(snapshot_bytes),
        m_history(&m_machine),
        m_receiver(&m_history, Random(seed)),
        m_distributor(self, &m_history, is_control) {}

  void SetNeighbours(const TreeNeighbours& neighbours) {
    m_receiver.SetFallbackPeers(neighbours.m_fallback_peers);
    m_distributor.SetNeighbours(neighbours);
  }

  /// Loads an old state, as from a hot file.
  void Restore(Version version, const std::vector<std::byte>& snapshot) { (void)m_history.Load(version, snapshot); }

  /// Applies the next delta on a control host.
  std::vector<OutgoingMessage> Change(TimePoint now, Version to, const std::vector<std::byte>& content) {
    if (!IsOk(m_history.Apply({m_history.CurrentVersion(), to, content, 0})))
      throw std::logic_error("delta was refused");
    m_changed_at = now;
    return HandleActions(now, m_distributor.OnStateChanged(now));
  }

  std::vector<OutgoingMessage> Tick(TimePoint now) {
    std::vector<OutgoingMessage> messages = HandleActions(now, m_distributor.Tick(now));
    if (!m_is_control) Append(&messages, HandleActions(now, m_receiver.Tick(now)));
    return messages;
  }

  std::vector<OutgoingMessage> Receive(TimePoint now, HostId sender, const Endpoint& source, MessageType type,
                                       const std::vector<std::byte>& payload) {
    if (payload.size() > kMaxUdpPayloadBytes) throw std::logic_error("message exceeds a datagram");
    if (StateDistributor::Handles(type)) {
      auto actions = m_distributor.Receive(now, sender, source, type, payload);
      if (!IsOk(actions)) throw std::logic_error(ToString(ErrorOf(actions)));
      return HandleActions(now, std::move(ValueOf(actions)));
    }
    if (m_is_control) return {};
    auto actions = m_receiver.Receive(now, sender, source, type, payload);
    if (!IsOk(actions)) throw std::logic_error(ToString(ErrorOf(actions)));
    return HandleActions(now, std::move(ValueOf(actions)));
  }

  [[nodiscard]] TimePoint NextDeadline() const {
    return m_is_control ? m_distributor.NextDeadline()
                        : std::min(m_distributor.NextDeadline(), m_receiver.NextDeadline());
  }

  [[nodiscard]] const StateHistory& History() const { return m_history; }
  [[nodiscard]] StateDistributor& Distributor() { return m_distributor; }
  [[nodiscard]] StateReceiver& Receiver() { return m_receiver; }
  [[nodiscard]] TimePoint ChangedAt() const { return m_changed_at; }
  /// The time at which each version came into force here.
  [[nodiscard]] std::vector<std::pair<Version, TimePoint>>& Changes() { return m_changes; }

 private:
  static void Append(std::vector<OutgoingMessage>* to, std::vector<OutgoingMessage> messages) {
    to->insert(to->end(), std::make_move_iterator(messages.begin()), std::make_move_iterator(messages.end()));
  }

  std::vector<OutgoingMessage> HandleActions(TimePoint now, DistributorActions actions) {
    std::vector<OutgoingMessage> messages = std::move(actions.m_messages);
    if (actions.m_newer_peer && !m_is_control)
      Append(&messages, HandleActions(now, m_receiver.CatchUp(now, *actions.m_newer_peer, actions.m_newer_version)));
    return messages;
  }

  std::vector<OutgoingMessage> HandleActions(TimePoint now, ReceiverActions actions) {
    std::vector<OutgoingMessage> messages = std::move(actions.m_messages);
    if (actions.m_is_state_changed) {
      m_changed_at = now;
      m_changes.emplace_back(m_history.CurrentVersion(), now);
      Append(&messages, HandleActions(now, m_distributor.OnStateChanged(now)));
    } else if (actions.m_is_confirmed) {
      Append(&messages, HandleActions(now, m_distributor.OnConfirmed(now)));
    }
    return messages;
  }

  bool m_is_control;
  FakeStateMachine m_machine;
  StateHistory m_history;
  StateReceiver m_receiver;
  StateDistributor m_distributor;
  TimePoint m_changed_at;
  std::vector<std::pair<Version, TimePoint>> m_changes;
};

/// Control hosts 1 to 3 and balancers from host 1001 on, spread over data centres and joined in the distribution tree.
class DistributionCluster {
 public:
  DistributionCluster(std::uint32_t daemons, std::uint16_t data_centres, std::size_t fanout, LinkSettings links,
                      std::uint64_t seed)
      : m_fanout(fanout), m_random(seed), m_network(links, seed), m_live(data_centres) {
    for (std::uint32_t host = 1; host <= 3; ++host) m_control_hosts.push_back({{host}, EndpointOf({host})});
    for (std::uint32_t index = 0; index < daemons; ++index) {
      Member member;
      member.m_host = {1001 + index};
      member.m_data_centre = {static_cast<std::uint16_t>(index % data_centres)};
      member.m_control_endpoint = EndpointOf(member.m_host);
      m_live[index % data_centres].push_back(member);
    }
    for (const StatePeer& control : m_control_hosts) Start(control.m_host, true);
    for (const auto& members : m_live)
      for (const Member& member : members) Start(member.m_host, false);
    UpdateNeighbours();
  }

  void Start(HostId host, bool is_control) {
    m_network.Add(host, std::make_unique<DistributionNode>(host, is_control, m_random()));
  }

  /// Builds the tree of the hosts that run and sets the neighbours of each.
  void UpdateNeighbours() {
    std::vector<Member> coordinators;
    for (auto& members : m_live) {
      std::vector<Member> running;
      for (const Member& member : members)
        if (m_network.Find(member.m_host) != nullptr) running.push_back(member);
      if (!running.empty()) coordinators.push_back(running.front());
      for (const Member& member : running)
        m_network.Find(member.m_host)
            ->SetNeighbours(NeighboursOfBalancer(member.m_host, running, m_control_hosts, m_fanout));
    }
    for (const StatePeer& control : m_control_hosts)
      m_network.Find(control.m_host)
          ->SetNeighbours(NeighboursOfControlHost(control.m_host, {1}, m_control_hosts, coordinators));
  }

  /// Makes a change of the given size on every control host.
  Version Change(std::size_t delta_bytes) {
    m_version = {1, m_version.m_generation + 1};
    std::vector<std::byte> content(delta_bytes, static_cast<std::byte>(m_version.m_generation));
    for (const StatePeer& control : m_control_hosts)
      m_network.Send(control.m_host, m_network.Find(control.m_host)->Change(m_network.Now(), m_version, content));
    return m_version;
  }

  [[nodiscard]] Version CurrentVersion() const { return m_version; }
  VirtualNetwork<DistributionNode>& Network() { return m_network; }
  [[nodiscard]] std::vector<HostId> Balancers() const {
    std::vector<HostId> hosts;
    for (const HostId host : m_network.Hosts())
      if (host.m_value > 1000) hosts.push_back(host);
    return hosts;
  }

 private:
  std::size_t m_fanout;
  Random m_random;
  VirtualNetwork<DistributionNode> m_network;
  std::vector<StatePeer> m_control_hosts;
  std::vector<std::vector<Member>> m_live;
  Version m_version;
};

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_DISTRIBUTION_NODE_H_
