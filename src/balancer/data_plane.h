#ifndef FIGHATCH_BALANCER_DATA_PLANE_H_
#define FIGHATCH_BALANCER_DATA_PLANE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "balancer/packet_counters.h"
#include "fighatch/flow_decider.h"
#include "fighatch/forwarding_table.h"
#include "io/udp_socket.h"

namespace fighatch::daemon {

/// The payload of a datagram for a service in request mode, which the request engine handles.
struct RequestDatagram {
  FlowKey m_key;
  ServiceId m_service;
  std::vector<std::byte> m_payload;
};

/// Receives request datagrams. It is called on the receive threads, so it must not block and must be thread-safe.
using RequestSink = std::function<void(RequestDatagram datagram)>;

/// Settings of the data plane.
struct DataPlaneOptions {
  HostId m_host;
  /// Where GUE packets are received; with port 0 the system chooses one.
  Endpoint m_listen;
  /// The fabric, to which packets for callers are sent: TCP resets and answers to requests.
  Endpoint m_fabric;
  std::uint32_t m_receive_threads = 1;
  std::uint32_t m_shards = 4;
  /// The most flow records that all shards hold together.
  std::size_t m_record_capacity = 1 << 19;
  /// First sequence number of record messages. It should be random, so that a restarted process does not reuse numbers.
  std::uint64_t m_first_sequence = 1;
};

/// The packet path of a balancer. Each receive thread receives a batch of packets, decodes the GUE header, parses the
/// inner packet, decides where it goes, writes the new outer header and sends the batch. Dropped packets are counted by
/// error code.
///
/// The shard of a flow decides on its packets. Each shard has its own lock, which is not held across a system call.
/// Tables are immutable and swapped by pointer.
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

  /// Replaces the forwarding table. `balancers` are the data endpoints of all known balancers, including this one.
  void SetTable(const std::shared_ptr<const ForwardingTable>& table, std::vector<Endpoint> balancers);
  /// Sets the data endpoints of the balancers to which request datagrams are forwarded, for each service without usable
  /// targets in this data centre.
  void SetRequestFallbacks(std::map<ServiceId, std::vector<Endpoint>> fallbacks);
  /// Sets when the coordinator and other members were last heard from.
  void SetContact(const FlowContact& contact);
  /// Returns the record messages that are due. To be called every 5 to 20 ms.
  [[nodiscard]] std::vector<OutgoingRecords> Tick();
  /// Stores the records of another balancer and returns the acknowledgement.
  [[nodiscard]] FlowRecordsAck OnRecords(const FlowRecordsMessage& message);
  /// Handles the acknowledgement of a record message by another balancer.
  void OnAck(const FlowRecordsAck& ack);
  /// The lowest `FlowDecider::BaseIdleSeconds` of all shards, for `TableAck`.
  [[nodiscard]] std::uint32_t BaseIdleSeconds(ServiceId service, DataCentreId data_centre);
  /// True once the keepers have transferred their records to this joining balancer.
  [[nodiscard]] bool HasAllRecords();
  /// True once all records that other balancers must hold have arrived there.
  [[nodiscard]] bool IsTransferDone();

  /// Where the next packet of an open flow would go by the present table and records; see `ExplainFlow`. Changes
  /// nothing.
  [[nodiscard]] Decision Explain(const FlowKey& key);

  /// Sends an inner packet to the fabric, which delivers it to a caller.
  void SendToFabric(std::span<const std::byte> inner);

  [[nodiscard]] const PacketCounters& Counters() const noexcept { return m_counters; }
  /// Number of flow records that all shards hold.
  [[nodiscard]] std::size_t RecordCount();
  /// The endpoint that the sockets are bound to.
  [[nodiscard]] const Endpoint& Local() const noexcept { return m_local; }

  /// The present time of the steady clock, in the type that the core uses.
  [[nodiscard]] static TimePoint Now() noexcept;

 private:
  struct Shard {
    explicit Shard(const FlowDeciderOptions& options) : m_decider(options) {}
    std::mutex m_mutex;
    FlowDecider m_decider;
  };
  /// Data endpoints of balancers. Immutable, and swapped by pointer.
  struct BalancerEndpoints {
    /// All known balancers, in ascending order.
    std::vector<Endpoint> m_balancers;
    /// Where request datagrams of a service without usable targets in this data centre are forwarded.
    std::map<ServiceId, std::vector<Endpoint>> m_request_fallbacks;
  };
  class Receiver;

  DataPlane(const DataPlaneOptions& options, RequestSink sink);

  [[nodiscard]] std::uint32_t ShardOf(std::uint64_t flow_hash) const noexcept {
    // The low bits select the hash slot. Other bits select the shard, so that the flows of a slot spread over all
    // shards.
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

#endif  // FIGHATCH_BALANCER_DATA_PLANE_H_
