#include "fighatch/record_transfer.h"

#include <algorithm>
#include <utility>

namespace fighatch {
namespace {

/// Size of an encoded `WireFlowRecord`.
constexpr std::size_t kRecordBytes = 24;
/// The most unacknowledged bulk batches for one host, so that a host that does not answer is not flooded.
constexpr std::size_t kMaxBulkBatchesInFlight = 64;

WireFlowRecord ToWire(const FlowRecord& record, std::uint32_t tick) {
  const std::uint32_t age = tick > record.m_last_seen ? tick - record.m_last_seen : 0;
  return {record.m_fingerprint, record.m_target, record.m_service, age};
}

}  // namespace

std::size_t RecordTransfer::Peer::BulkInFlight() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(m_in_flight.begin(), m_in_flight.end(), [](const auto& entry) { return entry.second.m_is_bulk; }));
}

RecordTransfer::RecordTransfer(RecordTransferOptions options)
    : m_options(options), m_next_sequence(options.m_first_sequence) {}

void RecordTransfer::QueueNew(HostId host, const FlowRecord& record, TimePoint now) {
  Peer& peer = m_peers[host];
  if (peer.m_new.empty()) peer.m_oldest_new = now;
  peer.m_new.push_back(record);
}

void RecordTransfer::QueueBulk(HostId host, const FlowRecord& record) { m_peers[host].m_bulk.push_back(record); }

void RecordTransfer::QueueFinal(HostId host, std::uint64_t keepers_digest) {
  m_peers[host].m_final = true;
  m_peers[host].m_keepers_digest = keepers_digest;
}

void RecordTransfer::RemoveHost(HostId host) { m_peers.erase(host); }

void RecordTransfer::OnAck(const FlowRecordsAck& ack) {
  const auto found = m_peers.find(ack.m_sender);
  if (found != m_peers.end()) found->second.m_in_flight.erase(ack.m_sequence);
}

std::vector<OutgoingRecords> RecordTransfer::Tick(TimePoint now) {
  std::vector<OutgoingRecords> out;
  RefillBulkTokens(now);
  for (auto& [host, peer] : m_peers) {
    Resend(host, &peer, now, &out);
    SendNew(host, &peer, now, &out);
    SendBulk(host, &peer, now, &out);
  }
  std::erase_if(m_peers, [](const auto& entry) { return entry.second.IsIdle(); });
  return out;
}

bool RecordTransfer::IsIdle() const noexcept {
  return std::all_of(m_peers.begin(), m_peers.end(), [](const auto& entry) { return entry.second.IsIdle(); });
}

std::vector<HostId> RecordTransfer::Hosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, peer] : m_peers) hosts.push_back(host);
  return hosts;
}

void RecordTransfer::RefillBulkTokens(TimePoint now) {
  // The bucket holds a tenth of a second's bytes, and at least one full batch.
  const std::uint64_t bucket_bytes =
      std::max<std::uint64_t>(m_options.m_bulk_bytes_per_second / 10, kMaxRecordsInMessage * kRecordBytes);
  const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - m_last_refill);
  const std::uint64_t elapsed_us = static_cast<std::uint64_t>(std::clamp<std::int64_t>(elapsed.count(), 0, 1'000'000));
  const std::uint64_t refill_bytes = m_options.m_bulk_bytes_per_second * elapsed_us / 1'000'000;
  if (refill_bytes == 0) return;
  m_bulk_tokens_bytes = std::min(bucket_bytes, m_bulk_tokens_bytes + refill_bytes);
  m_last_refill = now;
}

void RecordTransfer::Resend(HostId host, Peer* peer, TimePoint now, std::vector<OutgoingRecords>* out) {
  for (auto& [sequence, in_flight] : peer->m_in_flight) {
    if (now - in_flight.m_sent < m_options.m_resend_after) continue;
    const std::uint32_t tick = FlowTick(now);
    for (WireFlowRecord& record : in_flight.m_message.m_records) record.m_age += tick - in_flight.m_tick;
    in_flight.m_tick = tick;
    in_flight.m_sent = now;
    out->push_back({host, in_flight.m_message});
  }
}

void RecordTransfer::SendNew(HostId host, Peer* peer, TimePoint now, std::vector<OutgoingRecords>* out) {
  const bool is_due = now - peer->m_oldest_new >= m_options.m_batch_delay;
  while (peer->m_new.size() >= kMaxRecordsInMessage || (is_due && !peer->m_new.empty())) {
    SendBatch(host, peer, &peer->m_new, false, now, out);
    peer->m_oldest_new = now;
  }
}

void RecordTransfer::SendBulk(HostId host, Peer* peer, TimePoint now, std::vector<OutgoingRecords>* out) {
  while (!peer->m_bulk.empty() || peer->m_final) {
    const std::size_t count = std::min(peer->m_bulk.size(), kMaxRecordsInMessage);
    if (count * kRecordBytes > m_bulk_tokens_bytes || peer->BulkInFlight() >= kMaxBulkBatchesInFlight) return;
    // The final flag must not overtake records: the last batch waits until all others are acknowledged.
    const bool is_final = peer->m_final && count == peer->m_bulk.size();
    if (is_final && peer->BulkInFlight() > 0) return;
    m_bulk_tokens_bytes -= count * kRecordBytes;
    SendBatch(host, peer, &peer->m_bulk, is_final, now, out);
    if (is_final) peer->m_final = false;
  }
}

void RecordTransfer::SendBatch(HostId host, Peer* peer, std::deque<FlowRecord>* queue, bool is_final, TimePoint now,
                               std::vector<OutgoingRecords>* out) {
  const std::uint32_t tick = FlowTick(now);
  InFlight in_flight{{}, now, tick, queue == &peer->m_bulk};
  FlowRecordsMessage& message = in_flight.m_message;
  message.m_sender = m_options.m_self;
  message.m_shard = m_options.m_shard;
  message.m_shards = m_options.m_shards;
  message.m_sequence = m_next_sequence++;
  message.m_final = is_final;
  message.m_keepers_digest = is_final ? peer->m_keepers_digest : 0;
  while (!queue->empty() && message.m_records.size() < kMaxRecordsInMessage) {
    message.m_records.push_back(ToWire(queue->front(), tick));
    queue->pop_front();
  }
  out->push_back({host, message});
  peer->m_in_flight.emplace(message.m_sequence, std::move(in_flight));
}

}  // namespace fighatch
