#include "fighatch/ticket_processor.h"

#include <algorithm>
#include <set>
#include <string_view>

#include "wire/codec.h"

namespace fighatch {
TicketAnswer TicketProcessor::Apply(const Ticket& ticket, Version version) {
  const TicketDigest digest = DigestOf(ticket);
  if (const std::optional<TicketAnswer> known = Find(ticket.m_number, digest)) return *known;
  const Error error = Check(ticket);
  if (error.m_code != ErrorCode::kOk) return {ticket.m_number, error.m_code, error.m_detail, digest, {}};
  ApplyToState(ticket, version);
  RetainAccepted(ticket, digest, version);
  return {ticket.m_number, ErrorCode::kOk, {}, digest, version};
}

const AcceptedTicket* TicketProcessor::FindAccepted(TicketNumber number) const {
  const auto found = m_data.m_accepted.find(number);
  return found == m_data.m_accepted.end() ? nullptr : &found->second;
}

std::optional<TicketAnswer> TicketProcessor::Find(TicketNumber number, const TicketDigest& digest) const {
  const AcceptedTicket* accepted = FindAccepted(number);
  if (accepted == nullptr) return std::nullopt;
  const Error error = CheckNumberConflict(number, digest, *accepted);
  return TicketAnswer{number, error.m_code, error.m_detail, accepted->m_digest, accepted->m_version};
}

Error TicketProcessor::Check(const Ticket& ticket) const {
  TicketCheckInput input;
  input.m_state = &m_data.m_state;
  input.m_address_owners = &m_address_owners;
  input.m_removal_tickets = &m_data.m_removal_tickets;
  input.m_evicted_up_to = m_data.m_evicted_up_to;
  if (m_data.m_accepted.size() >= kMaxRetainedTickets) input.m_lowest_retained = m_data.m_accepted.begin()->first;
  const std::vector<TicketFinding> errors = TicketCheck(ticket, input).FindErrors();
  return errors.empty() ? Error{} : MakeError(errors.front().m_code, errors.front().m_text);
}

void TicketProcessor::ApplyToState(const Ticket& ticket, Version version) {
  for (const std::string& name : ticket.m_removed_services) RemoveService(ticket, name);
  for (const DataCentre& data_centre : ticket.m_data_centres) SetDataCentre(ticket, data_centre);
  for (const Service& service : ticket.m_services) SetService(ticket, service);
  AddRecentTickets(std::span(&ticket.m_number, 1), &m_data.m_state);
  RecordChange(ticket, version);
  m_data.m_state.m_version = version;
  m_digest.reset();
}

void TicketProcessor::SetService(const Ticket& ticket, const Service& service) {
  Service& stored = m_data.m_state.m_services[service.m_name];
  const bool is_new = stored.m_id.m_value == 0;
  if (!is_new) UnindexAddresses(stored);
  const ServiceId id = is_new ? ServiceId{++m_data.m_state.m_last_service_id} : stored.m_id;
  stored = service;
  stored.m_id = id;
  stored.m_ticket = ticket.m_number;
  m_data.m_removal_tickets.erase(service.m_name);
  IndexAddresses(stored);
}

void TicketProcessor::RemoveService(const Ticket& ticket, const std::string& name) {
  const auto found = m_data.m_state.m_services.find(name);
  if (found == m_data.m_state.m_services.end()) return;
  UnindexAddresses(found->second);
  m_data.m_state.m_services.erase(found);
  m_data.m_removal_tickets[name] = ticket.m_number;
}

void TicketProcessor::SetDataCentre(const Ticket& ticket, const DataCentre& data_centre) {
  DataCentre& stored = m_data.m_state.m_data_centres[data_centre.m_name];
  const bool is_new = stored.m_id.m_value == 0;
  const DataCentreId id = is_new ? DataCentreId{++m_data.m_state.m_last_data_centre_id} : stored.m_id;
  stored = data_centre;
  stored.m_id = id;
  stored.m_ticket = ticket.m_number;
}

void TicketProcessor::RecordChange(const Ticket& ticket, Version version) {
  Change change{version, ticket.m_number, ticket.m_removed_services, {}};
  for (const Service& service : ticket.m_services) change.m_services.push_back(service.m_name);
  for (const DataCentre& data_centre : ticket.m_data_centres) change.m_data_centres.push_back(data_centre.m_name);
  m_data.m_changes.push_back(std::move(change));
  if (m_data.m_changes.size() > kMaxDeltaChanges) {
    m_data.m_oldest_delta_base = m_data.m_changes.front().m_version;
    m_data.m_changes.erase(m_data.m_changes.begin());
  }
}

void TicketProcessor::RetainAccepted(const Ticket& ticket, const TicketDigest& digest, Version version) {
  m_data.m_accepted[ticket.m_number] = {digest, ticket.m_author, version};
  if (m_data.m_accepted.size() <= kMaxRetainedTickets) return;
  const auto oldest = m_data.m_accepted.begin();
  m_data.m_evicted_up_to = oldest->first;
  m_data.m_accepted.erase(oldest);
}

void TicketProcessor::IndexAddresses(const Service& service) {
  for (const ServiceAddress& address : service.m_addresses) m_address_owners[address].insert(service.m_name);
}

void TicketProcessor::UnindexAddresses(const Service& service) {
  for (const ServiceAddress& address : service.m_addresses) {
    const auto found = m_address_owners.find(address);
    if (found == m_address_owners.end()) continue;
    found->second.erase(service.m_name);
    if (found->second.empty()) m_address_owners.erase(found);
  }
}

std::uint64_t TicketProcessor::Digest() const {
  if (!m_digest) m_digest = StateDigest(m_data.m_state);
  return *m_digest;
}

std::optional<StateDelta> TicketProcessor::DeltaSince(Version version) const {
  const StateDocument& state = m_data.m_state;
  if (version == state.m_version) return std::nullopt;
  if (version == m_data.m_oldest_delta_base) return MakeDelta(0, version);
  const auto found = std::find_if(m_data.m_changes.begin(), m_data.m_changes.end(),
                                  [version](const Change& change) { return change.m_version == version; });
  if (found != m_data.m_changes.end()) {
    return MakeDelta(static_cast<std::size_t>(found - m_data.m_changes.begin()) + 1, version);
  }
  // A receiver with a newer version follows another control host that is ahead of this one.
  if (version > state.m_version) return std::nullopt;
  StateDelta snapshot;
  snapshot.m_to = state.m_version;
  snapshot.m_snapshot = state;
  snapshot.m_digest = Digest();
  return snapshot;
}

StateDelta TicketProcessor::MakeDelta(std::size_t first_change, Version from) const {
  const StateDocument& state = m_data.m_state;
  StateDelta delta;
  delta.m_from = from;
  delta.m_to = state.m_version;
  delta.m_last_service_id = state.m_last_service_id;
  delta.m_last_data_centre_id = state.m_last_data_centre_id;
  delta.m_digest = Digest();
  std::set<std::string> services;
  std::set<std::string> data_centres;
  for (std::size_t index = first_change; index < m_data.m_changes.size(); ++index) {
    const Change& change = m_data.m_changes[index];
    services.insert(change.m_services.begin(), change.m_services.end());
    data_centres.insert(change.m_data_centres.begin(), change.m_data_centres.end());
    delta.m_tickets.push_back(change.m_number);
  }
  for (const std::string& name : services) {
    const auto found = state.m_services.find(name);
    if (found == state.m_services.end()) {
      delta.m_removed_services.push_back(name);
    } else {
      delta.m_services.push_back(found->second);
    }
  }
  for (const std::string& name : data_centres) delta.m_data_centres.push_back(state.m_data_centres.at(name));
  return delta;
}

std::vector<std::byte> TicketProcessor::EncodeSnapshot() const { return wire::Encode(m_data); }

Status TicketProcessor::Restore(std::span<const std::byte> snapshot) {
  Result<SnapshotData> data = wire::Decode<SnapshotData>(snapshot);
  if (!IsOk(data)) return ErrorOf(data);
  m_data = std::move(ValueOf(data));
  m_digest.reset();
  m_address_owners = AddressOwnersOf(m_data.m_state);
  return OkStatus();
}

}  // namespace fighatch
