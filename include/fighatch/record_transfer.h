#ifndef FIGHATCH_RECORD_TRANSFER_H_
#define FIGHATCH_RECORD_TRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "fighatch/flow_records.h"
#include "fighatch/flow_records_message.h"
#include "fighatch/ids.h"
#include "fighatch/time.h"

namespace fighatch {

/// A flow-records message and the balancer to send it to.
struct OutgoingRecords {
  HostId m_host;
  FlowRecordsMessage m_message;
};

/// Settings of a `RecordTransfer`.
struct RecordTransferOptions {
  HostId m_self;
  std::uint16_t m_shard = 0;
  std::uint16_t m_shards = 1;
  /// The first sequence number. With a random one, acknowledgements for a former process of the host match no batch.
  std::uint64_t m_first_sequence = 1;
  /// Rate limit for the records of bulk transfers to all balancers. It does not apply to records of new flows.
  std::uint64_t m_bulk_bytes_per_second = 256 * 1024;
  /// How long a batch of new flows that is not full waits for more records.
  Duration m_batch_delay = std::chrono::milliseconds(5);
  /// A batch is resent if it has not been acknowledged for this long.
  Duration m_resend_after = std::chrono::milliseconds(200);
};

/// Queues flow records for other balancers, groups them into batches and resends these until they are acknowledged.
/// Records of new flows wait only for `m_batch_delay`; bulk transfers, which copy existing records to other holders,
/// are limited by a token bucket. Used by `FlowDecider`, which passes in the time.
class RecordTransfer {
 public:
  explicit RecordTransfer(RecordTransferOptions options);

  /// Queues the record of a new flow.
  void QueueNew(HostId host, const FlowRecord& record, TimePoint now);
  /// Queues an existing record for a balancer that must hold it too, subject to the rate limit.
  void QueueBulk(HostId host, const FlowRecord& record);
  /// Requests the `m_final` flag in the message that ends the bulk transfer.
  void QueueFinal(HostId host, std::uint64_t keepers_digest);
  /// Drops the queued and the unacknowledged records for a balancer that is gone.
  void RemoveHost(HostId host);
  /// Handles an acknowledgement.
  void OnAck(const FlowRecordsAck& ack);

  /// Returns the messages that are due.
  [[nodiscard]] std::vector<OutgoingRecords> Tick(TimePoint now);

  /// True if nothing is queued or unacknowledged.
  [[nodiscard]] bool IsIdle() const noexcept;
  /// Hosts for which something is queued or unacknowledged.
  [[nodiscard]] std::vector<HostId> Hosts() const;

 private:
  /// A batch that was sent and is not acknowledged.
  struct InFlight {
    FlowRecordsMessage m_message;
    TimePoint m_sent;
    /// Tick that the ages in the message refer to.
    std::uint32_t m_tick = 0;
    bool m_is_bulk = false;
  };
  /// The queues for one balancer and the batches in flight to it, by sequence number.
  struct Peer {
    std::deque<FlowRecord> m_new;
    /// When the wait of `m_batch_delay` for `m_new` began.
    TimePoint m_oldest_new;
    std::deque<FlowRecord> m_bulk;
    bool m_final = false;
    std::uint64_t m_keepers_digest = 0;
    std::map<std::uint64_t, InFlight> m_in_flight;

    [[nodiscard]] std::size_t BulkInFlight() const noexcept;
    [[nodiscard]] bool IsIdle() const noexcept {
      return m_new.empty() && m_bulk.empty() && !m_final && m_in_flight.empty();
    }
  };

  void RefillBulkTokens(TimePoint now);
  void Resend(HostId host, Peer* peer, TimePoint now, std::vector<OutgoingRecords>* out);
  void SendNew(HostId host, Peer* peer, TimePoint now, std::vector<OutgoingRecords>* out);
  void SendBulk(HostId host, Peer* peer, TimePoint now, std::vector<OutgoingRecords>* out);
  void SendBatch(HostId host, Peer* peer, std::deque<FlowRecord>* queue, bool is_final, TimePoint now,
                 std::vector<OutgoingRecords>* out);

  RecordTransferOptions m_options;
  std::uint64_t m_next_sequence;
  std::map<HostId, Peer> m_peers;
  TimePoint m_last_refill;
  /// Bytes that bulk transfers may send now.
  std::uint64_t m_bulk_tokens_bytes = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_RECORD_TRANSFER_H_
