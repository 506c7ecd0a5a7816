#include "fighatch/state_history.h"

#include <algorithm>
#include <utility>

namespace fighatch {

StateHistory::StateHistory(StateMachine* machine, Version version)
    : m_machine(machine), m_version(version), m_digest(machine->Digest()) {}

Status StateHistory::Apply(EncodedDelta delta) {
  if (delta.m_from != m_version || delta.m_to <= m_version)
    return MakeError(ErrorCode::kMessageMalformed,
                     "delta does not start at the present version or does not end above it");
  if (Status applied = m_machine->ApplyDelta(delta.m_to, delta.m_content); !IsOk(applied)) return applied;
  Append(std::move(delta));
  return OkStatus();
}

Status StateHistory::Record(EncodedDelta delta) {
  if (delta.m_from != m_version || delta.m_to <= m_version)
    return MakeError(ErrorCode::kMessageMalformed,
                     "delta does not start at the present version or does not end above it");
  Append(std::move(delta));
  return OkStatus();
}

void StateHistory::Append(EncodedDelta delta) {
  m_version = delta.m_to;
  m_digest = m_machine->Digest();
  delta.m_digest = m_digest;
  m_snapshot.reset();
  m_delta_bytes += delta.m_content.size();
  m_deltas.push_back(std::move(delta));
  while (m_deltas.size() > kMaxDeltas || m_delta_bytes > kMaxDeltaBytes) {
    m_delta_bytes -= m_deltas.front().m_content.size();
    m_deltas.pop_front();
  }
}

Status StateHistory::Load(Version version, std::span<const std::byte> snapshot) {
  if (version < m_version)
    return MakeError(ErrorCode::kMessageMalformed, "snapshot has a lower version than the state");
  if (Status loaded = m_machine->LoadSnapshot(version, snapshot); !IsOk(loaded)) return loaded;
  m_version = version;
  m_digest = m_machine->Digest();
  m_snapshot.reset();
  m_deltas.clear();
  m_delta_bytes = 0;
  return OkStatus();
}

const EncodedDelta* StateHistory::DeltaFrom(Version from) const noexcept {
  const auto found = std::lower_bound(m_deltas.begin(), m_deltas.end(), from,
                                      [](const EncodedDelta& delta, Version wanted) { return delta.m_from < wanted; });
  return found != m_deltas.end() && found->m_from == from ? &*found : nullptr;
}

const std::vector<std::byte>& StateHistory::Snapshot() const {
  if (!m_snapshot) m_snapshot = m_machine->Snapshot();
  return *m_snapshot;
}

void StateHistory::Confirm(TimePoint at) noexcept {
  m_confirmed_at = m_confirmed_at ? std::max(*m_confirmed_at, at) : at;
}

}  // namespace fighatch
