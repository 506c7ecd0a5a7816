#ifndef FIGHATCH_ROUTING_LOG_H_
#define FIGHATCH_ROUTING_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
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

/// Reads an operator's document. It must depend on the text alone, since every control host reads it again.
class DocumentReader {
 public:
  virtual ~DocumentReader() = default;

  /// Errors: `kTicketMalformed` for a document that is incomplete or contradicts itself.
  [[nodiscard]] virtual Result<RoutingState> Read(std::string_view text) const = 0;
};

/// A whole document with the version that it carries.
struct DocumentCommand {
  std::uint64_t m_version = 0;
  std::string m_text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_text);
  }
};

/// Takes a data centre out or back in.
struct DataCentreCommand {
  std::string m_name;
  bool m_out = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_name, m_out);
  }
};

/// What control hosts agree on, one log entry each.
using RoutingCommand = std::variant<DocumentCommand, DataCentreCommand>;

[[nodiscard]] std::string EncodeRoutingCommand(const RoutingCommand& command);
/// Errors: `kMessageMalformed`.
[[nodiscard]] Result<RoutingCommand> DecodeRoutingCommand(std::string_view bytes);

/// The state that the log of routing commands leads to. The document with the highest version is in force; one that is
/// not higher changes nothing, so that a document may be sent again and late ones do no harm.
class RoutingLog {
 public:
  /// `reader` must outlive the log.
  explicit RoutingLog(const DocumentReader* reader);

  /// Applies one entry; true if the published state changed. Errors: `kMessageMalformed`, `kTicketMalformed`.
  [[nodiscard]] Result<bool> Apply(LogIndex index, const RoutingCommand& command);

  /// Applies entries that no one waits for, in ascending order, with the same result as one call of `Apply` for each.
  /// Documents that another one supersedes are not read, which keeps a restart short. Returns the errors of the others.
  std::vector<std::pair<LogIndex, Error>> Replay(const std::vector<std::pair<LogIndex, RoutingCommand>>& commands);

  /// The newest state; never null.
  [[nodiscard]] const std::shared_ptr<const PublishedState>& Published() const noexcept { return m_published; }

  /// What leads a host that holds the state of `index` to the newest one: a difference if that state is still known,
  /// the whole state otherwise.
  [[nodiscard]] RoutingUpdate UpdateFrom(std::uint64_t index) const;

  /// The text of the document in force; empty before the first one.
  [[nodiscard]] const std::string& Document() const noexcept { return m_document; }

  [[nodiscard]] std::string EncodeSnapshot() const;
  /// Errors: `kMessageMalformed`, `kTicketMalformed`.
  [[nodiscard]] Status Restore(std::span<const std::byte> bytes);

 private:
  [[nodiscard]] Result<bool> ApplyCommand(LogIndex index, const DocumentCommand& command);
  [[nodiscard]] Result<bool> ApplyCommand(LogIndex index, const DataCentreCommand& command);
  void Activate(LogIndex index, const std::string& text, RoutingState routing);
  void Publish(PublishedState next);

  const DocumentReader* m_reader;
  std::string m_document;
  std::shared_ptr<const PublishedState> m_published;
  // Earlier states, oldest first, which differences are made from.
  std::deque<std::shared_ptr<const PublishedState>> m_history;
};

}  // namespace fighatch

#endif  // FIGHATCH_ROUTING_LOG_H_
