#ifndef FIGHATCH_REQUEST_JOURNAL_H_
#define FIGHATCH_REQUEST_JOURNAL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fighatch/outcome.h"
#include "fighatch/request_id.h"
#include "fighatch/time.h"

namespace fighatch {

/// Progress of the request of an id. The last three states are final.
enum class JournalState : std::uint8_t { kReceived = 0, kDispatched = 1, kAnswered = 2, kRefused = 3, kUnknown = 4 };

/// Time that an entry is kept after the validity of its id has ended.
inline constexpr Duration kJournalRetention = std::chrono::seconds(30);

/// Journal entry of one request id.
struct JournalEntry {
  JournalState m_state = JournalState::kReceived;
  ErrorCode m_code = ErrorCode::kOk;
  /// Hash of service, method, path and body. A request with other content under the same id is refused.
  std::uint64_t m_fingerprint = 0;
  TimePoint m_expires;
  /// The target's response; set only in state `kAnswered`.
  std::unique_ptr<HttpResponse> m_response;
};

/// True for the states that never change again.
[[nodiscard]] constexpr bool IsFinal(JournalState state) noexcept {
  return state != JournalState::kReceived && state != JournalState::kDispatched;
}

/// The answer to a resend of a request whose entry is final.
[[nodiscard]] RequestAnswer AnswerOf(const JournalEntry& entry);

/// A journal entry as it is sent in a handover.
struct JournalRecord {
  RequestId m_id;
  JournalState m_state = JournalState::kUnknown;
  std::uint64_t m_fingerprint = 0;
  /// Time until the entry expires, on the sender's clock.
  std::int64_t m_remaining_ns = 0;
  RequestAnswer m_answer;

  friend bool operator==(const JournalRecord&, const JournalRecord&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_id, m_state, m_fingerprint, m_remaining_ns, m_answer);
  }
};

/// Bounds of a journal's memory.
struct JournalLimits {
  std::size_t m_entries = 200'000;
  std::size_t m_response_bytes = 64UL * 1024 * 1024;
};

/// Bounded in-memory journal of the non-idempotent requests of the issuer incarnations that a balancer shard owns. It
/// answers resends and prevents a second dispatch. Entries are removed only on expiry, since dropping one within the
/// validity of its id would allow a second dispatch; a full journal refuses new entries instead.
class RequestJournal {
 public:
  explicit RequestJournal(JournalLimits limits = {}) noexcept : m_limits(limits) {}

  /// The entry of the id, or null.
  [[nodiscard]] JournalEntry* Find(const RequestId& id) noexcept;

  /// Adds an entry in state `kReceived`; null if the journal is full or has the id.
  JournalEntry* Insert(const RequestId& id, std::uint64_t fingerprint, TimePoint expires);

  /// True if a response of maximum size still fits for one more request, in addition to one for each non-final entry.
  [[nodiscard]] bool HasRoomForResponse() const noexcept;

  /// Moves an entry to the final state that follows from the answer. A final entry stays unchanged.
  void Finish(JournalEntry* entry, const RequestAnswer& answer);

  /// Removes the entries that have expired.
  void Expire(TimePoint now);

  /// When the next entries expire, rounded up to a whole second; empty without entries.
  [[nodiscard]] std::optional<TimePoint> NextExpiry() const noexcept;

  /// The entries of one issuer incarnation for a handover. Non-final entries are exported as `kDispatched`, because the
  /// sender continues to run their requests and the receiver must not dispatch them.
  [[nodiscard]] std::vector<JournalRecord> Export(HostId issuer, Incarnation incarnation, TimePoint now) const;

  /// The handover record of one entry; a non-final state becomes `kDispatched`.
  [[nodiscard]] static JournalRecord ToRecord(const RequestId& id, const JournalEntry& entry, TimePoint now);

  /// Merges a handover record. A final state is never replaced. False if the journal is full.
  bool Import(const JournalRecord& record, TimePoint now);

  /// Ids of an issuer incarnation's entries in a non-final state.
  [[nodiscard]] std::vector<RequestId> NonFinalIds(HostId issuer, Incarnation incarnation) const;

  [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
  /// Total size of the stored responses.
  [[nodiscard]] std::size_t ResponseBytes() const noexcept { return m_response_bytes; }

 private:
  JournalLimits m_limits;
  std::unordered_map<RequestId, JournalEntry> m_entries;
  /// Ids by the second in which they expire, so that expiry handles one list per second instead of single entries.
  std::map<std::int64_t, std::vector<RequestId>> m_expiry;
  std::size_t m_response_bytes = 0;
  std::size_t m_non_final = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_JOURNAL_H_
