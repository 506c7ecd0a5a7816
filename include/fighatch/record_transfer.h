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

/// A message for another balancer.
struct OutgoingRecords {
  HostId m_host;
  FlowRecordsMessage m_message;
};

/// Settings of a `RecordTransfer`.
struct RecordTransferOptions {
  HostId m_self;
  std::uint16_t m_shard = 0;
  std::uint16_t m_shards = 1;
  /// Sequence numbers start here; a random number keeps acknowledgements of a former process from matching.
  std::uint64_t m_first_sequence = 1;
  /// Limit for records of bulk transfers. Records of new flows are not delayed.
  std::uint64_t m_bulk_bytes_per_second = 256 * 1024;
  /// Time to wait for more records of new flows before a batch that is not full is sent.
  Duration m_batch_delay = std::chrono::milliseconds(5);
  Duration m_resend_after = std::chrono::milliseconds(200);
};

/// Sends flow records to other balancers in batches and resends them until they are acknowledged.
class RecordTransfer {
 public:
  explicit RecordTransfer(RecordTransferOptions options);

  /// Queues the record of a new flow.
  void QueueNew(HostId host, const FlowRecord& record, TimePoint now);
  /// Queues a record that a balancer takes over.
  void QueueBulk(HostId host, const FlowRecord& record);
  /// Queues the mark that ends a bulk transfer.
  void QueueFinal(HostId host, std::uint64_t keepers_digest);
  /// Forgets what is queued for a balancer that is gone.
  void RemoveHost(HostId host);
  /// Handles an acknowledgement.
  void OnAck(const FlowRecordsAck& ack);

  /// The messages that are due.
  [[nodiscard]] std::vector<OutgoingRecords> Tick(TimePoint now);

  /// True if nothing waits to be sent or acknowledged.
  [[nodiscard]] bool IsIdle() const noexcept;
  /// Hosts for which something waits.
  [[nodiscard]] std::vector<HostId> Hosts() const;

 private:
  struct InFlight {
    FlowRecordsMessage m_message;
    TimePoint m_sent;
    std::uint32_t m_tick = 0;
    bool m_is_bulk = false;
  };
  struct Peer {
    std::deque<FlowRecord> m_new;
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
  std::uint64_t m_bulk_tokens_bytes = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_RECORD_TRANSFER_H_
