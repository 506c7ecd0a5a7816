#ifndef FIGHATCH_DAEMON_DATA_PLANE_H_
#define FIGHATCH_DAEMON_DATA_PLANE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "daemon/packet_counters.h"
#include "fighatch/flow_decider.h"
#include "fighatch/forwarding_table.h"
#include "io/udp_socket.h"

namespace fighatch::daemon {

/// A datagram of a service in request mode, taken off the data path.
struct RequestDatagram {
  FlowKey m_key;
  ServiceId m_service;
  std::vector<std::byte> m_payload;
};

/// Takes request datagrams; called on a receive thread, so it must be quick and safe from several threads.
using RequestSink = std::function<void(RequestDatagram datagram)>;

/// How the data plane is set up.
struct DataPlaneOptions {
  HostId m_host;
  Endpoint m_listen;
  /// Where resets to callers go.
  Endpoint m_fabric;
  std::uint32_t m_receive_threads = 1;
  std::uint32_t m_shards = 4;
  /// Records of all shards together.
  std::size_t m_record_capacity = 1 << 19;
  /// First sequence number of record messages; random, so that a restarted process does not reuse numbers.
  std::uint64_t m_first_sequence = 1;
};

/// The way of a packet: receive a batch, decode GUE, parse the inner packet, decide, write the outer header, send the
/// batch. Packets are decided by the shard of their flow; each shard has its own lock, which is not held across a
/// system call. Tables are immutable and swapped by pointer.
class DataPlane {
 public:
  /// Binds the sockets. Errors: `kIoSocket`.
  [[nodiscard]] static Result<std::unique_ptr<DataPlane>> Create(const DataPlaneOptions& options, RequestSink sink);

  ~DataPlane();
  DataPlane(const DataPlane&) = delete;
  DataPlane& operator=(const DataPlane&) = delete;

  /// Starts the receive threads.
  void Start();
  /// Stops the receive threads and waits for them.
  void Stop();

  /// Takes a newer table into use. `balancers` are the data endpoints of all known balancers, this one included.
  void SetTable(const std::shared_ptr<const ForwardingTable>& table, std::vector<Endpoint> balancers);
  /// Sets where request datagrams of services without targets in this data centre are forwarded: the data endpoints of
  /// balancers that can serve them.
  void SetRequestFallbacks(std::map<ServiceId, std::vector<Endpoint>> fallbacks);
  /// Takes note of the contact to other members.
  void SetContact(const FlowContact& contact);
  /// Record messages that are due. To be called every 5 to 20 ms.
  [[nodiscard]] std::vector<OutgoingRecords> Tick();
  /// Takes a record message of another balancer.
  [[nodiscard]] FlowRecordsAck OnRecords(const FlowRecordsMessage& message);
  /// Takes an acknowledgement of another balancer.
  void OnAck(const FlowRecordsAck& ack);
  /// The idle time of base owners over all shards; for `TableAck`.
  [[nodiscard]] std::uint32_t BaseIdleSeconds(ServiceId service, DataCentreId data_centre);
  /// True once the keepers have transferred their records to this joining balancer.
  [[nodiscard]] bool HasAllRecords();
  /// True once all records that other balancers must hold have arrived there.
  [[nodiscard]] bool IsTransferDone();

  /// Where the next packet of an open flow would go by the present table and records. Changes nothing.
  [[nodiscard]] Decision Explain(const FlowKey& key);

  /// Sends an inner packet to the fabric, for a caller.
  void SendToFabric(std::span<const std::byte> inner);

  [[nodiscard]] const PacketCounters& Counters() const noexcept { return m_counters; }
  /// Flow records held by all shards.
  [[nodiscard]] std::size_t RecordCount();
  [[nodiscard]] const Endpoint& Local() const noexcept { return m_local; }

  /// The time on the core's clock.
  [[nodiscard]] static TimePoint Now() noexcept;

 private:
  struct Shard {
    explicit Shard(const FlowDeciderOptions& options) : m_decider(options) {}
    std::mutex m_mutex;
    FlowDecider m_decider;
  };
  /// Immutable; swapped by pointer.
  struct BalancerEndpoints {
    /// Data endpoints of all known balancers, ascending.
    std::vector<Endpoint> m_balancers;
    /// Where request datagrams of a service go that has no targets in this data centre.
    std::map<ServiceId, std::vector<Endpoint>> m_request_fallbacks;
  };
  class Receiver;

  DataPlane(const DataPlaneOptions& options, RequestSink sink);

  [[nodiscard]] std::uint32_t ShardOf(std::uint64_t flow_hash) const noexcept {
    // The low bits select the hash slot; the shard takes others, so that each shard sees all slots.
    return static_cast<std::uint32_t>((flow_hash >> 40U) % m_shards.size());
  }
  [[nodiscard]] std::shared_ptr<const BalancerEndpoints> GetBalancerEndpoints();

  DataPlaneOptions m_options;
  RequestSink m_sink;
  PacketCounters m_counters;
  std::vector<std::unique_ptr<Shard>> m_shards;
  std::mutex m_balancer_endpoints_mutex;
  std::shared_ptr<const BalancerEndpoints> m_balancer_endpoints;
  std::vector<std::unique_ptr<Receiver>> m_receivers;
  std::vector<std::thread> m_threads;
  std::atomic<bool> m_stopping{false};
  Endpoint m_local;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_DATA_PLANE_H_
