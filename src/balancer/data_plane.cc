#include "balancer/data_plane.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "balancer/flow_explanation.h"
#include "balancer/packet_receiver.h"

namespace fighatch::daemon {

DataPlane::DataPlane(const DataPlaneOptions& options, RequestSink sink)
    : m_options(options), m_sink(std::move(sink)), m_balancer_endpoints(std::make_shared<const BalancerEndpoints>()) {
  const std::size_t shards = std::max<std::uint32_t>(options.m_shards, 1);
  for (std::size_t index = 0; index < shards; ++index) {
    FlowDeciderOptions decider;
    decider.m_record_capacity = std::max<std::size_t>(options.m_record_capacity / shards, 1024);
    decider.m_transfer.m_self = options.m_host;
    decider.m_transfer.m_shard = static_cast<std::uint16_t>(index);
    decider.m_transfer.m_shards = static_cast<std::uint16_t>(shards);
    decider.m_transfer.m_first_sequence = options.m_first_sequence;
    m_shards.push_back(std::make_unique<Shard>(decider));
  }
}

DataPlane::~DataPlane() { Stop(); }

Result<std::unique_ptr<DataPlane>> DataPlane::Create(const DataPlaneOptions& options, RequestSink sink) {
  std::unique_ptr<DataPlane> plane(new DataPlane(options, std::move(sink)));
  Endpoint listen = options.m_listen;
  for (std::uint32_t index = 0; index < std::max<std::uint32_t>(options.m_receive_threads, 1); ++index) {
    io::UdpOptions udp;
    udp.m_reuse_port = options.m_receive_threads > 1;
    udp.m_batch = kReceiveBatch;
    udp.m_datagram_bytes = kMaxGueDatagramBytes;
    udp.m_headroom_bytes = kGuePrivateBytes;
    Result<io::UdpSocket> socket = io::UdpSocket::Bind(listen, udp);
    if (!IsOk(socket)) return ErrorOf(socket);
    listen = ValueOf(socket).Local();
    plane->m_receivers.push_back(std::make_unique<Receiver>(plane.get(), std::move(ValueOf(socket))));
  }
  plane->m_local = listen;
  return plane;
}

void DataPlane::Start() {
  for (const auto& receiver : m_receivers) m_threads.emplace_back([&receiver] { receiver->Run(); });
}

void DataPlane::Stop() {
  m_stopping = true;
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
}

TimePoint DataPlane::Now() noexcept { return TimePoint(std::chrono::steady_clock::now().time_since_epoch()); }

void DataPlane::SetTable(const std::shared_ptr<const ForwardingTable>& table, std::vector<Endpoint> balancers) {
  std::sort(balancers.begin(), balancers.end());
  {
    const std::lock_guard lock(m_balancer_endpoints_mutex);
    m_balancer_endpoints = std::make_shared<const BalancerEndpoints>(
        BalancerEndpoints{std::move(balancers), m_balancer_endpoints->m_request_fallbacks});
  }
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard->m_mutex);
    shard->m_decider.SetTable(table, Now());
  }
}

void DataPlane::SetRequestFallbacks(std::map<ServiceId, std::vector<Endpoint>> fallbacks) {
  const std::lock_guard lock(m_balancer_endpoints_mutex);
  if (m_balancer_endpoints->m_request_fallbacks == fallbacks) return;
  m_balancer_endpoints = std::make_shared<const BalancerEndpoints>(
      BalancerEndpoints{m_balancer_endpoints->m_balancers, std::move(fallbacks)});
}

void DataPlane::SetContact(const FlowContact& contact) {
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard->m_mutex);
    shard->m_decider.SetContact(contact);
  }
}

std::vector<OutgoingRecords> DataPlane::Tick() {
  std::vector<OutgoingRecords> due;
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard->m_mutex);
    std::vector<OutgoingRecords> sends = shard->m_decider.Tick(Now());
    std::move(sends.begin(), sends.end(), std::back_inserter(due));
  }
  return due;
}

FlowRecordsAck DataPlane::OnRecords(const FlowRecordsMessage& message) {
  // Each shard gets the records of its flows, and every shard gets the marker that ends a transfer.
  std::vector<FlowRecordsMessage> parts(m_shards.size(), message);
  for (FlowRecordsMessage& part : parts) part.m_records.clear();
  for (const WireFlowRecord& record : message.m_records) {
    parts[ShardOf(record.m_fingerprint)].m_records.push_back(record);
  }
  FlowRecordsAck ack;
  for (std::size_t index = 0; index < m_shards.size(); ++index) {
    const std::lock_guard lock(m_shards[index]->m_mutex);
    ack = m_shards[index]->m_decider.OnRecords(parts[index], Now());
  }
  return ack;
}

void DataPlane::OnAck(const FlowRecordsAck& ack) {
  if (ack.m_shard >= m_shards.size()) return;
  const std::lock_guard lock(m_shards[ack.m_shard]->m_mutex);
  m_shards[ack.m_shard]->m_decider.OnAck(ack);
}

std::uint32_t DataPlane::BaseIdleSeconds(ServiceId service, DataCentreId data_centre) {
  std::uint32_t idle = std::numeric_limits<std::uint32_t>::max();
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard->m_mutex);
    idle = std::min(idle, shard->m_decider.BaseIdleSeconds(service, data_centre, Now()));
  }
  return idle;
}

bool DataPlane::HasAllRecords() {
  return std::all_of(m_shards.begin(), m_shards.end(), [](const auto& shard) {
    const std::lock_guard lock(shard->m_mutex);
    return shard->m_decider.HasAllRecords();
  });
}

bool DataPlane::IsTransferDone() {
  return std::all_of(m_shards.begin(), m_shards.end(), [](const auto& shard) {
    const std::lock_guard lock(shard->m_mutex);
    return shard->m_decider.IsTransferDone();
  });
}

std::size_t DataPlane::RecordCount() {
  std::size_t records = 0;
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard->m_mutex);
    records += shard->m_decider.Records().size();
  }
  return records;
}

Decision DataPlane::Explain(const FlowKey& key) {
  const std::uint64_t hash = FlowHash(key);
  Shard& shard = *m_shards[ShardOf(hash)];
  const std::lock_guard lock(shard.m_mutex);
  return ExplainFlow(shard.m_decider, key, hash);
}

void DataPlane::SendToFabric(std::span<const std::byte> inner) { m_receivers.front()->SendToFabric(inner); }

std::shared_ptr<const DataPlane::BalancerEndpoints> DataPlane::GetBalancerEndpoints() {
  const std::lock_guard lock(m_balancer_endpoints_mutex);
  return m_balancer_endpoints;
}

}  // namespace fighatch::daemon
