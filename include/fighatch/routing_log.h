#ifndef FIGHATCH_ROUTING_LOG_H_
#define FIGHATCH_ROUTING_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "fighatch/raft_message.h"
#include "fighatch/result.h"
#include "fighatch/routing_state.h"

namespace fighatch {

/// Largest operator document in bytes; a document of 10,000 routes takes about 2.5 MB. Every stage that a document
/// passes has a limit at least as high, see the table of limits in `docs/design.md`.
inline constexpr std::size_t kMaxDocumentBytes = 4 << 20;

/// Parses an operator's document. The result must depend on the text alone, since every control host parses it itself.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;

  /// Errors: `kTicketMalformed` for a document that is incomplete or contradicts itself.
  [[nodiscard]] virtual Result<RoutingState> Read(std::string_view text) const = 0;
};

/// Command to put a complete operator document with the given version into force.
struct DocumentCommand {
  std::uint64_t m_version = 0;
  std::string m_text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_text);
  }
};

/// Command to take a data centre out of service or back in.
struct DataCentreCommand {
  std::string m_name;
  bool m_out = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_name, m_out);
  }
};

/// Payload of one entry of the log that the control hosts replicate.
using RoutingCommand = std::variant<DocumentCommand, DataCentreCommand>;

[[nodiscard]] std::string EncodeRoutingCommand(const RoutingCommand& command);
/// Errors: `kMessageMalformed`.
[[nodiscard]] Result<RoutingCommand> DecodeRoutingCommand(std::string_view bytes);

/// State machine of a control host: applies the replicated log of routing commands and keeps the resulting state for
/// the balancers. The document with the highest version is in force; one with the same or a lower version changes
/// nothing, so that resent and late documents do no harm.
class RoutingLog {
 public:
  /// `reader` must outlive the log.
  explicit RoutingLog(const DocumentReader* reader);

  /// Applies one entry; true if the published state changed. Errors: `kMessageMalformed`, `kTicketMalformed`.
  [[nodiscard]] Result<bool> Apply(LogIndex index, const RoutingCommand& command);

  /// Applies entries whose results no client awaits, in ascending order, with the same resulting state as one call of
  /// `Apply` for each. Documents that another one supersedes are not parsed, which keeps a restart short; the states
  /// that held their routes are not published, so that no host gets a difference from them. Returns the errors of the
  /// parsed ones.
  std::vector<std::pair<LogIndex, Error>> Replay(const std::vector<std::pair<LogIndex, RoutingCommand>>& commands);

  /// The newest state; never null.
  [[nodiscard]] const std::shared_ptr<const PublishedState>& Published() const noexcept { return m_published; }

  /// The update that takes a host from the state at `held` to the newest one: a difference if exactly that state is
  /// still kept, the whole state otherwise.
  [[nodiscard]] RoutingUpdate UpdateFrom(const StatePosition& held) const;

  /// The text of the document in force; empty before the first one.
  [[nodiscard]] const std::string& Document() const noexcept { return m_document; }

  [[nodiscard]] std::string EncodeSnapshot() const;
  /// Errors: `kMessageMalformed`, `kTicketMalformed`.
  [[nodiscard]] Status Restore(std::span<const std::byte> bytes);

 private:
  [[nodiscard]] Result<bool> ApplyCommand(LogIndex index, const DocumentCommand& command);
  [[nodiscard]] Result<bool> ApplyCommand(LogIndex index, const DataCentreCommand& command);
  // The document that is in force after the commands, with its index; unset if it is the one in force already. Adds the
  // errors of malformed documents.
  [[nodiscard]] std::optional<std::pair<LogIndex, RoutingState>> ReadNewestDocument(
      const std::vector<std::pair<LogIndex, RoutingCommand>>& commands,
      std::vector<std::pair<LogIndex, Error>>* errors) const;
  void Publish(PublishedState next);

  const DocumentReader* m_reader;
  std::string m_document;
  std::shared_ptr<const PublishedState> m_published;
  // Earlier states, oldest first, as the bases of differences.
  std::deque<std::shared_ptr<const PublishedState>> m_history;
};

}  // namespace fighatch

#endif  // FIGHATCH_ROUTING_LOG_H_
