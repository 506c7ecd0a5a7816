#ifndef FIGHATCH_REQUEST_HANDOVER_OUTBOX_H_
#define FIGHATCH_REQUEST_HANDOVER_OUTBOX_H_

#include <map>
#include <utility>
#include <vector>

#include "request/ownership_table.h"

namespace fighatch {

/// Parts of a stopping balancer's handover that the successor has not confirmed yet.
class HandoverOutbox {
 public:
  /// `frame` carries the sender and the shard; the other fields are filled in here.
  HandoverOutbox(Handover frame, std::size_t part_bytes)
      : m_part_template(std::move(frame)), m_part_bytes(part_bytes) {}

  /// Splits the records of an issuer incarnation into its initial parts.
  void AddInitial(const IssuerIncarnation& issuer, TimePoint issuer_clock, std::vector<JournalRecord> records);

  /// Adds a part with the end of one request; false if the incarnation was not handed over.
  bool AddUpdate(const IssuerIncarnation& issuer, TimePoint issuer_clock, JournalRecord record);

  void OnAck(const HandoverAck& ack);

  /// Parts to be sent: those that were not sent yet, or all that are not confirmed.
  [[nodiscard]] std::vector<Handover> TakeUnsent();
  [[nodiscard]] std::vector<Handover> Unconfirmed() const;

  [[nodiscard]] bool WasHandedOver(const IssuerIncarnation& issuer) const { return m_part_counts.contains(issuer); }
  [[nodiscard]] bool IsEmpty() const noexcept { return m_parts.empty(); }

 private:
  using PartKey = std::pair<IssuerIncarnation, std::uint32_t>;

  void Add(Handover part);

  Handover m_part_template;
  std::size_t m_part_bytes;
  std::map<IssuerIncarnation, std::pair<std::uint32_t, std::uint32_t>> m_part_counts;
  std::map<PartKey, Handover> m_parts;
  std::vector<PartKey> m_unsent;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_HANDOVER_OUTBOX_H_
