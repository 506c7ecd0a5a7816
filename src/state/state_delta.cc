#include "fighatch/state_delta.h"

#include <algorithm>

#include "wire/codec.h"

namespace fighatch {
namespace {

void ApplyObjects(const StateDelta& delta, StateDocument* state) {
  for (const std::string& name : delta.m_removed_services) state->m_services.erase(name);
  for (const Service& service : delta.m_services) state->m_services[service.m_name] = service;
  for (const DataCentre& data_centre : delta.m_data_centres) {
    state->m_data_centres[data_centre.m_name] = data_centre;
  }
  state->m_last_service_id = delta.m_last_service_id;
  state->m_last_data_centre_id = delta.m_last_data_centre_id;
  AddRecentTickets(delta.m_tickets, state);
  state->m_version = delta.m_to;
}

}  // namespace

void AddRecentTickets(std::span<const TicketNumber> numbers, StateDocument* state) {
  std::vector<TicketNumber>& recent = state->m_recent_tickets;
  for (const TicketNumber number : numbers) {
    const auto position = std::lower_bound(recent.begin(), recent.end(), number);
    if (position == recent.end() || *position != number) recent.insert(position, number);
  }
  if (recent.size() > kMaxRecentTickets) {
    recent.erase(recent.begin(), recent.end() - static_cast<std::ptrdiff_t>(kMaxRecentTickets));
  }
}

Status ApplyDelta(const StateDelta& delta, StateDocument* state) {
  if (delta.m_to <= state->m_version) return OkStatus();
  StateDocument next;
  if (delta.m_snapshot) {
    next = *delta.m_snapshot;
  } else {
    if (delta.m_from != state->m_version) {
      return MakeError(ErrorCode::kMessageMalformed, "delta does not start at the version of the state");
    }
    next = *state;
    ApplyObjects(delta, &next);
  }
  if (next.m_version != delta.m_to || StateDigest(next) != delta.m_digest) {
    return MakeError(ErrorCode::kMessageMalformed, "version or digest of the state after the delta does not match");
  }
  *state = std::move(next);
  return OkStatus();
}

std::vector<std::byte> EncodeDelta(const StateDelta& delta) { return wire::Encode(delta); }

Result<StateDelta> DecodeDelta(std::span<const std::byte> bytes) { return wire::Decode<StateDelta>(bytes); }

}  // namespace fighatch
