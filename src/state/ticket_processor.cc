#include "fighatch/ticket_processor.h"

#include <algorithm>
#include <limits>

#include "wire/codec.h"

namespace fighatch {
namespace {

template <typename Objects>
bool HasDuplicateNames(const Objects& objects) {
  std::set<std::string_view> names;
  return std::any_of(objects.begin(), objects.end(),
                     [&names](const auto& object) { return !names.insert(object.m_name).second; });
}

bool HasAddress(const Service& service, const ServiceAddress& address) {
  return std::find(service.m_addresses.begin(), service.m_addresses.end(), address) != service.m_addresses.end();
}

bool Removes(const Ticket& ticket, const std::string& name) {
  const std::vector<std::string>& removed = ticket.m_removed_services;
  return std::find(removed.begin(), removed.end(), name) != removed.end();
}

Error NumberTooLowError(const std::string& object, TicketNumber in_force) {
  return MakeError(ErrorCode::kTicketNumberTooLow,
                   object + " was set by ticket " + std::to_string(in_force.m_value) + "; use a higher number");
}

}  // namespace

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
  TicketAnswer answer{number, ErrorCode::kOk, {}, accepted->m_digest, accepted->m_version};
  if (accepted->m_digest != digest) {
    answer.m_code = ErrorCode::kTicketNumberConflict;
    answer.m_detail = "ticket " + std::to_string(number.m_value) + " by " + accepted->m_author +
                      " was accepted at generation " + std::to_string(accepted->m_version.m_generation) +
                      "; use another number";
  }
  return answer;
}

Error TicketProcessor::Check(const Ticket& ticket) const {
  for (const auto check : {&TicketProcessor::CheckStructure, &TicketProcessor::CheckNumbers}) {
    Error error = (this->*check)(ticket);
    if (error.m_code != ErrorCode::kOk) return error;
  }
  if (ticket.m_force) return {};
  for (const auto check : {&TicketProcessor::CheckDataCentreNames, &TicketProcessor::CheckAddresses,
                           &TicketProcessor::CheckDataCentresInService}) {
    Error error = (this->*check)(ticket);
    if (error.m_code != ErrorCode::kOk) return error;
  }
  return {};
}

Error TicketProcessor::CheckStructure(const Ticket& ticket) const {
  if (HasDuplicateNames(ticket.m_services)) return MakeError(ErrorCode::kTicketMalformed, "services: duplicate name");
  if (HasDuplicateNames(ticket.m_data_centres)) {
    return MakeError(ErrorCode::kTicketMalformed, "data_centres: duplicate name");
  }
  for (const Service& service : ticket.m_services) {
    if (Removes(ticket, service.m_name)) {
      return MakeError(ErrorCode::kTicketMalformed, "service " + service.m_name + " is both set and removed");
    }
  }
  constexpr std::size_t kMaxDataCentreId = std::numeric_limits<std::uint16_t>::max();
  if (m_data.m_state.m_last_data_centre_id + ticket.m_data_centres.size() > kMaxDataCentreId) {
    return MakeError(ErrorCode::kTicketMalformed, "data_centres: all ids are used up");
  }
  return {};
}

Error TicketProcessor::CheckNumbers(const Ticket& ticket) const {
  const TicketNumber number = ticket.m_number;
  if (number <= m_data.m_evicted_up_to) return NumberTooLowError("a ticket that is no longer remembered", number);
  if (m_data.m_accepted.size() >= kMaxRetainedTickets && number < m_data.m_accepted.begin()->first) {
    return NumberTooLowError("a ticket that is about to be forgotten", m_data.m_accepted.begin()->first);
  }
  const StateDocument& state = m_data.m_state;
  const auto set_by = [&state](const std::string& name) {
    const auto found = state.m_services.find(name);
    return found == state.m_services.end() ? TicketNumber{} : found->second.m_ticket;
  };
  for (const std::string& name : ticket.m_removed_services) {
    if (set_by(name) > number) return NumberTooLowError("service " + name, set_by(name));
  }
  for (const Service& service : ticket.m_services) {
    if (set_by(service.m_name) > number) return NumberTooLowError("service " + service.m_name, set_by(service.m_name));
    const auto removed = m_data.m_removal_tickets.find(service.m_name);
    if (removed != m_data.m_removal_tickets.end() && removed->second > number) {
      return NumberTooLowError("removed service " + service.m_name, removed->second);
    }
  }
  for (const DataCentre& data_centre : ticket.m_data_centres) {
    const auto found = state.m_data_centres.find(data_centre.m_name);
    if (found != state.m_data_centres.end() && found->second.m_ticket > number) {
      return NumberTooLowError("data centre " + data_centre.m_name, found->second.m_ticket);
    }
  }
  return {};
}

const Service* TicketProcessor::ServiceAfter(const Ticket& ticket, const std::string& name) const {
  for (const Service& service : ticket.m_services) {
    if (service.m_name == name) return &service;
  }
  if (Removes(ticket, name)) return nullptr;
  const auto found = m_data.m_state.m_services.find(name);
  return found == m_data.m_state.m_services.end() ? nullptr : &found->second;
}

const DataCentre* TicketProcessor::DataCentreAfter(const Ticket& ticket, const std::string& name) const {
  for (const DataCentre& data_centre : ticket.m_data_centres) {
    if (data_centre.m_name == name) return &data_centre;
  }
  const auto found = m_data.m_state.m_data_centres.find(name);
  return found == m_data.m_state.m_data_centres.end() ? nullptr : &found->second;
}

Error TicketProcessor::CheckDataCentreNames(const Ticket& ticket) const {
  const auto unknown = [](const Service& service, const std::string& name) {
    return MakeError(ErrorCode::kTicketUnknownDataCentre,
                     "service " + service.m_name + " names the unknown data centre " + name);
  };
  for (const Service& service : ticket.m_services) {
    for (const DataCentreWeight& weight : service.m_weights) {
      if (DataCentreAfter(ticket, weight.m_data_centre) == nullptr) return unknown(service, weight.m_data_centre);
    }
    for (const AdmissionRule& rule : service.m_admission) {
      if (DataCentreAfter(ticket, rule.m_data_centre) == nullptr) return unknown(service, rule.m_data_centre);
    }
  }
  return {};
}

Error TicketProcessor::CheckAddresses(const Ticket& ticket) const {
  const auto conflict = [](const ServiceAddress& address, const std::string& left, const std::string& right) {
    return MakeError(ErrorCode::kTicketAddressConflict,
                     ToString(address.m_endpoint) + " is claimed by " + left + " and " + right);
  };
  std::map<ServiceAddress, std::string> claimed;
  for (const Service& service : ticket.m_services) {
    for (const ServiceAddress& address : service.m_addresses) {
      const auto [claim, is_new] = claimed.emplace(address, service.m_name);
      if (!is_new) return conflict(address, service.m_name, claim->second);
      const auto owners = m_address_owners.find(address);
      if (owners == m_address_owners.end()) continue;
      for (const std::string& owner : owners->second) {
        const Service* after = owner == service.m_name ? nullptr : ServiceAfter(ticket, owner);
        if (after != nullptr && HasAddress(*after, address)) return conflict(address, service.m_name, owner);
      }
    }
  }
  return {};
}

bool TicketProcessor::HasNoDataCentreInService(const Ticket& ticket, const Service& service) const {
  bool has_known = false;
  for (const DataCentreWeight& weight : service.m_weights) {
    const DataCentre* data_centre = DataCentreAfter(ticket, weight.m_data_centre);
    if (data_centre == nullptr) continue;
    if (data_centre->m_state == DataCentreState::kIn && weight.m_weight > 0) return false;
    has_known = true;
  }
  return has_known;
}

Error TicketProcessor::CheckDataCentresInService(const Ticket& ticket) const {
  const auto is_out = [](const DataCentre& data_centre) { return data_centre.m_state == DataCentreState::kOut; };
  const auto none_in_service = [](const std::string& object) {
    return MakeError(ErrorCode::kTicketAllDataCentresOut, object + " would be left without a data centre that is in");
  };
  for (const Service& service : ticket.m_services) {
    if (HasNoDataCentreInService(ticket, service)) return none_in_service("service " + service.m_name);
  }
  if (std::none_of(ticket.m_data_centres.begin(), ticket.m_data_centres.end(), is_out)) return {};
  for (const auto& [name, service] : m_data.m_state.m_services) {
    const Service* after = ServiceAfter(ticket, name);
    if (after != nullptr && HasNoDataCentreInService(ticket, *after)) return none_in_service("service " + name);
  }
  const bool is_any_set_in_service = !std::all_of(ticket.m_data_centres.begin(), ticket.m_data_centres.end(), is_out);
  const auto& before = m_data.m_state.m_data_centres;
  const bool is_any_existing_in_service = std::any_of(
      before.begin(), before.end(), [&](const auto& entry) { return !is_out(*DataCentreAfter(ticket, entry.first)); });
  return is_any_set_in_service || is_any_existing_in_service ? Error{} : none_in_service("the deployment");
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
  m_address_owners.clear();
  for (const auto& [name, service] : m_data.m_state.m_services) IndexAddresses(service);
  return OkStatus();
}

}  // namespace fighatch
