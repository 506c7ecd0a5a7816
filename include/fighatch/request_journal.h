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

/// How far the request of an id has come.
enum class JournalState : std::uint8_t { kReceived = 0, kDispatched = 1, kAnswered = 2, kRefused = 3, kUnknown = 4 };

/// How long an entry stays after the validity of its id has ended.
inline constexpr Duration kJournalRetention = std::chrono::seconds(30);

/// What the journal knows of one request id.
struct JournalEntry {
  JournalState m_state = JournalState::kReceived;
  ErrorCode m_code = ErrorCode::kOk;
  /// Hash of the request's content: a request with other content under the same id is refused.
  std::uint64_t m_fingerprint = 0;
  TimePoint m_expires;
  /// The target's response; set only in state `kAnswered`.
  std::unique_ptr<HttpResponse> m_response;
};

/// True for the states that never change again.
[[nodiscard]] constexpr bool IsFinal(JournalState state) noexcept {
  return state != JournalState::kReceived && state != JournalState::kDispatched;
}

/// The answer that a resend of a final entry's request gets.
[[nodiscard]] RequestAnswer AnswerOf(const JournalEntry& entry);

/// A journal entry as it travels in a handover.
struct JournalRecord {
  RequestId m_id;
  JournalState m_state = JournalState::kUnknown;
  std::uint64_t m_fingerprint = 0;
  /// Time until the entry expires, by the sender's clock.
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

/// The requests of the incarnations that a balancer shard may dispatch for. Entries leave only by expiry, since an
/// entry that is dropped within the validity of its id would allow a second dispatch.
class RequestJournal {
 public:
  explicit RequestJournal(JournalLimits limits = {}) noexcept : m_limits(limits) {}

  /// The entry of the id; null if there is none.
  [[nodiscard]] JournalEntry* Find(const RequestId& id) noexcept;

  /// Adds an entry in state `kReceived`; null if the journal is full or has the id.
  JournalEntry* Insert(const RequestId& id, std::uint64_t fingerprint, TimePoint expires);

  /// True if the largest response of one more request fits, next to those that are in progress.
  [[nodiscard]] bool HasRoomForResponse() const noexcept;

  /// Brings an entry that is not final into the final state of the answer.
  void Finish(JournalEntry* entry, const RequestAnswer& answer);

  /// Removes the entries that have expired.
  void Expire(TimePoint now);

  /// When the next entries expire.
  [[nodiscard]] std::optional<TimePoint> NextExpiry() const noexcept;

  /// The entries of one incarnation for a handover. Entries that are not final travel as `kDispatched`, because the
  /// sender goes on with them and the receiver must not dispatch them.
  [[nodiscard]] std::vector<JournalRecord> Export(HostId issuer, Incarnation incarnation, TimePoint now) const;

  /// The record of one entry.
  [[nodiscard]] static JournalRecord ToRecord(const RequestId& id, const JournalEntry& entry, TimePoint now);

  /// Takes a record over. A final state is never replaced. False if the journal is full.
  bool Import(const JournalRecord& record, TimePoint now);

  /// Ids of an incarnation's entries that are not final.
  [[nodiscard]] std::vector<RequestId> NonFinalIds(HostId issuer, Incarnation incarnation) const;

  [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
  /// Bytes of the responses kept.
  [[nodiscard]] std::size_t ResponseBytes() const noexcept { return m_response_bytes; }

 private:
  JournalLimits m_limits;
  std::unordered_map<RequestId, JournalEntry> m_entries;
  /// Ids by the second in which they expire, so that expiry costs one list for each second.
  std::map<std::int64_t, std::vector<RequestId>> m_expiry;
  std::size_t m_response_bytes = 0;
  std::size_t m_non_final = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_REQUEST_JOURNAL_H_
