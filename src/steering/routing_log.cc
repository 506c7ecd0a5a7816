#include "fighatch/routing_log.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "wire/codec.h"

namespace fighatch {
namespace {

// Number of earlier states kept as bases of differences; a host further behind gets the whole state.
constexpr std::size_t kHistoryStates = 12;

struct Snapshot {
  std::uint64_t m_index = 0;
  std::string m_document;
  std::vector<std::string> m_data_centres_out;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_document, m_data_centres_out);
  }
};

template <typename T>
std::string EncodeText(const T& value) {
  const std::vector<std::byte> bytes = wire::Encode(value);
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

// Returns true if the state changed.
bool SetDataCentre(const DataCentreCommand& command, PublishedState* state) {
  return command.m_out ? state->m_data_centres_out.insert(command.m_name).second
                       : state->m_data_centres_out.erase(command.m_name) > 0;
}

}  // namespace

std::string EncodeRoutingCommand(const RoutingCommand& command) { return EncodeText(command); }

Result<RoutingCommand> DecodeRoutingCommand(std::string_view bytes) {
  return wire::Decode<RoutingCommand>(std::as_bytes(std::span(bytes)));
}

RoutingLog::RoutingLog(const DocumentReader* reader)
    : m_reader(reader), m_published(std::make_shared<const PublishedState>()) {}

Result<bool> RoutingLog::Apply(LogIndex index, const RoutingCommand& command) {
  return std::visit([this, index](const auto& single) { return ApplyCommand(index, single); }, command);
}

Result<bool> RoutingLog::ApplyCommand(LogIndex index, const DocumentCommand& command) {
  if (!m_document.empty() && command.m_version <= m_published->m_routing.m_version) return false;
  Result<RoutingState> routing = m_reader->Read(command.m_text);
  if (!IsOk(routing)) return ErrorOf(routing);
  m_document = command.m_text;
  Publish({index, std::move(ValueOf(routing)), m_published->m_data_centres_out, 0});
  return true;
}

std::optional<std::pair<LogIndex, RoutingState>> RoutingLog::ReadNewestDocument(
    const std::vector<std::pair<LogIndex, RoutingCommand>>& commands,
    std::vector<std::pair<LogIndex, Error>>* errors) const {
  std::vector<std::pair<LogIndex, const DocumentCommand*>> documents;
  for (const auto& [index, command] : commands) {
    if (const auto* document = std::get_if<DocumentCommand>(&command)) documents.emplace_back(index, document);
  }
  // Highest version first. The sort is stable, since of the documents with one version the first one applies.
  std::stable_sort(documents.begin(), documents.end(), [](const auto& left, const auto& right) {
    return left.second->m_version > right.second->m_version;
  });
  for (const auto& [index, document] : documents) {
    if (!m_document.empty() && document->m_version <= m_published->m_routing.m_version) break;
    Result<RoutingState> read = m_reader->Read(document->m_text);
    if (IsOk(read)) return std::pair{index, std::move(ValueOf(read))};
    errors->emplace_back(index, ErrorOf(read));
  }
  return std::nullopt;
}

std::vector<std::pair<LogIndex, Error>> RoutingLog::Replay(
    const std::vector<std::pair<LogIndex, RoutingCommand>>& commands) {
  std::vector<std::pair<LogIndex, Error>> errors;
  std::optional<std::pair<LogIndex, RoutingState>> newest = ReadNewestDocument(commands, &errors);
  PublishedState next = *m_published;
  // Until the newest document applies, the routes of each state come from a document that was not parsed. A data centre
  // command in between must not publish the routes held here under its index: the host had published others under it.
  bool is_document_known = true;
  for (const auto& [index, command] : commands) {
    bool changed = false;
    if (const auto* data_centre = std::get_if<DataCentreCommand>(&command)) {
      changed = SetDataCentre(*data_centre, &next);
    } else if (newest && index == newest->first) {
      m_document = std::get<DocumentCommand>(command).m_text;
      next.m_routing = std::move(newest->second);
      is_document_known = changed = true;
    } else if (newest && index < newest->first) {
      is_document_known = false;
    }
    if (!changed) continue;
    next.m_index = index;
    if (is_document_known) Publish(next);
  }
  return errors;
}

Result<bool> RoutingLog::ApplyCommand(LogIndex index, const DataCentreCommand& command) {
  PublishedState next = *m_published;
  if (!SetDataCentre(command, &next)) return false;
  next.m_index = index;
  Publish(std::move(next));
  return true;
}

void RoutingLog::Publish(PublishedState next) {
  m_history.push_back(m_published);
  if (m_history.size() > kHistoryStates) m_history.pop_front();
  next.m_digest = StateDigest(next);
  m_published = std::make_shared<const PublishedState>(std::move(next));
}

RoutingUpdate RoutingLog::UpdateFrom(const StatePosition& held) const {
  for (const auto& state : m_history) {
    if (state->Position() == held && held.m_index != 0) return MakeUpdate(*state, *m_published);
  }
  return MakeUpdate(PublishedState{}, *m_published);
}

std::string RoutingLog::EncodeSnapshot() const {
  const auto& out = m_published->m_data_centres_out;
  return EncodeText(Snapshot{m_published->m_index, m_document, {out.begin(), out.end()}});
}

Status RoutingLog::Restore(std::span<const std::byte> bytes) {
  Result<Snapshot> decoded = wire::Decode<Snapshot>(bytes);
  if (!IsOk(decoded)) return ErrorOf(decoded);
  Snapshot& snapshot = ValueOf(decoded);
  PublishedState next{snapshot.m_index, {}, {}};
  next.m_data_centres_out = {snapshot.m_data_centres_out.begin(), snapshot.m_data_centres_out.end()};
  if (!snapshot.m_document.empty()) {
    Result<RoutingState> routing = m_reader->Read(snapshot.m_document);
    if (!IsOk(routing)) return ErrorOf(routing);
    next.m_routing = std::move(ValueOf(routing));
  }
  m_document = std::move(snapshot.m_document);
  m_history.clear();
  next.m_digest = StateDigest(next);
  m_published = std::make_shared<const PublishedState>(std::move(next));
  return OkStatus();
}

}  // namespace fighatch
