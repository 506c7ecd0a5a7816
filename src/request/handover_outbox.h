#ifndef FIGHATCH_REQUEST_HANDOVER_OUTBOX_H_
#define FIGHATCH_REQUEST_HANDOVER_OUTBOX_H_

#include <map>
#include <utility>
#include <vector>

#include "request/ownership_table.h"

namespace fighatch {

/// Handover parts of a stopping balancer that the successor has not acknowledged yet. The engine sends new parts once
/// and repeats all unacknowledged ones.
class HandoverOutbox {
 public:
  /// `part_template` carries the sender and the shard; the other fields are filled in for each part. A part has about
  /// `part_bytes` at most, unless a single record is larger.
  HandoverOutbox(Handover frame, std::size_t part_bytes)
      : m_part_template(std::move(frame)), m_part_bytes(part_bytes) {}

  /// Splits the records of an issuer incarnation into its initial parts and adds these.
  void AddInitial(const IssuerIncarnation& issuer, TimePoint issuer_clock, std::vector<JournalRecord> records);

  /// Adds a part with the final state of one request; false if the incarnation was not handed over.
  bool AddUpdate(const IssuerIncarnation& issuer, TimePoint issuer_clock, JournalRecord record);

  /// Removes an acknowledged part.
  void OnAck(const HandoverAck& ack);

  /// Returns the parts that were not sent yet, and counts them as sent.
  [[nodiscard]] std::vector<Handover> TakeUnsent();
  /// All parts that are not acknowledged.
  [[nodiscard]] std::vector<Handover> Unconfirmed() const;

  [[nodiscard]] bool WasHandedOver(const IssuerIncarnation& issuer) const { return m_part_counts.contains(issuer); }
  [[nodiscard]] bool IsEmpty() const noexcept { return m_parts.empty(); }

 private:
  using PartKey = std::pair<IssuerIncarnation, std::uint32_t>;

  void Add(Handover part);

  Handover m_part_template;
  std::size_t m_part_bytes;
  /// Number of all parts so far, which is the number of the next part, and number of initial parts.
  std::map<IssuerIncarnation, std::pair<std::uint32_t, std::uint32_t>> m_part_counts;
  std::map<PartKey, Handover> m_parts;
  std::vector<PartKey> m_unsent_facts;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_HANDOVER_OUTBOX_H_
