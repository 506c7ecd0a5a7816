#include "fighatch/ticket_check.h"

#include <algorithm>
#include <limits>

#include "state/ticket_path.h"
#include "state/ticket_reader.h"

namespace fighatch {
namespace {

using Findings = std::vector<TicketFinding>;

void AddError(ErrorCode code, std::string path, std::string text, Findings* findings) {
  findings->push_back({code, FindingSeverity::kError, std::move(path), std::move(text)});
}

template <typename Objects>
void AddDuplicateNames(std::string_view list, const Objects& objects, Findings* findings) {
  std::set<std::string_view> names;
  for (std::size_t index = 0; index < objects.size(); ++index) {
    if (names.insert(objects[index].m_name).second) continue;
    AddError(ErrorCode::kTicketMalformed, PathOfEntry(list, index) + ".name", std::string(list) + ": duplicate name",
             findings);
  }
}

void AddNumberTooLow(std::string path, const std::string& object, TicketNumber in_force, Findings* findings) {
  AddError(ErrorCode::kTicketNumberTooLow, std::move(path),
           object + " was set by ticket " + std::to_string(in_force.m_value) + "; use a higher number", findings);
}

void AddNoneInService(std::string path, const std::string& object, Findings* findings) {
  AddError(ErrorCode::kTicketAllDataCentresOut, std::move(path),
           object + " would be left without a data centre that is in", findings);
}

bool IsOut(const DataCentre& data_centre) { return data_centre.m_state == DataCentreState::kOut; }

// The finding for an error of `ReadTicket`, whose detail is the path of the field, a colon and the reason.
TicketFinding FindingOfReadError(const Error& error) {
  TicketFinding finding{ErrorCode::kTicketMalformed, FindingSeverity::kError, {}, error.m_detail};
  if (error.m_code == ErrorCode::kTicketTooLarge) {
    finding.m_code = error.m_code;
    return finding;
  }
  const std::size_t colon = error.m_detail.find(": ");
  if (error.m_code == ErrorCode::kSettingsDuplicateKey) {
    finding.m_path = error.m_detail;
    finding.m_text = "the key appears twice";
  } else if (error.m_code != ErrorCode::kSettingsSyntax && colon != std::string::npos) {
    finding.m_path = error.m_detail.substr(0, colon);
    finding.m_text = error.m_detail.substr(colon + 2);
  }
  finding.m_text.insert(0, std::string(ErrorName(error.m_code)) + ": ");
  return finding;
}

}  // namespace

std::string_view FindingSeverityName(FindingSeverity severity) noexcept {
  return severity == FindingSeverity::kError ? "error" : "warning";
}

AddressOwners AddressOwnersOf(const StateDocument& state) {
  AddressOwners owners;
  for (const auto& [name, service] : state.m_services) {
    for (const ServiceAddress& address : service.m_addresses) owners[address].insert(name);
  }
  return owners;
}

std::vector<TicketFinding> CheckTicketText(std::string_view text, Ticket* out) {
  Result<Ticket> ticket = ReadTicket(text);
  if (!IsOk(ticket)) return {FindingOfReadError(ErrorOf(ticket))};
  *out = std::move(ValueOf(ticket));
  return {};
}

Error CheckEncodedTicketSize(std::size_t bytes) {
  if (bytes <= kMaxEncodedTicketBytes) return {};
  return MakeError(ErrorCode::kTicketTooLarge, std::to_string(bytes) + " bytes encoded");
}

Error CheckNumberConflict(TicketNumber number, const TicketDigest& digest, const AcceptedTicket& accepted) {
  if (accepted.m_digest == digest) return {};
  return MakeError(ErrorCode::kTicketNumberConflict, "ticket " + std::to_string(number.m_value) + " by " +
                                                         accepted.m_author + " was accepted at generation " +
                                                         std::to_string(accepted.m_version.m_generation) +
                                                         "; use another number");
}

TicketCheck::TicketCheck(const Ticket& ticket, const TicketCheckInput& input) : m_ticket(ticket), m_input(input) {}

std::vector<TicketFinding> TicketCheck::FindErrors() const {
  Findings findings;
  CheckStructure(&findings);
  CheckNumbers(&findings);
  if (!m_ticket.m_force) CheckSafety(&findings);
  return findings;
}

void TicketCheck::CheckSafety(Findings* findings) const {
  CheckDataCentreNames(findings);
  CheckAddresses(findings);
  CheckDataCentresInService(findings);
}

void TicketCheck::CheckStructure(Findings* findings) const {
  AddDuplicateNames("services", m_ticket.m_services, findings);
  AddDuplicateNames("data_centres", m_ticket.m_data_centres, findings);
  for (std::size_t index = 0; index < m_ticket.m_services.size(); ++index) {
    const std::string& name = m_ticket.m_services[index].m_name;
    if (!Removes(name)) continue;
    AddError(ErrorCode::kTicketMalformed, PathOfService(index) + ".name",
             "service " + name + " is both set and removed", findings);
  }
  constexpr std::size_t kMaxDataCentreId = std::numeric_limits<std::uint16_t>::max();
  if (State().m_last_data_centre_id + m_ticket.m_data_centres.size() > kMaxDataCentreId) {
    AddError(ErrorCode::kTicketMalformed, "data_centres", "data_centres: all ids are used up", findings);
  }
}

void TicketCheck::CheckNumbers(Findings* findings) const {
  const TicketNumber number = m_ticket.m_number;
  if (number <= m_input.m_evicted_up_to) {
    AddNumberTooLow("number", "a ticket that is no longer remembered", number, findings);
  } else if (number < m_input.m_lowest_retained) {
    AddNumberTooLow("number", "a ticket that is about to be forgotten", m_input.m_lowest_retained, findings);
  }
  const auto set_by = [this](const std::string& name) {
    const auto found = State().m_services.find(name);
    return found == State().m_services.end() ? TicketNumber{} : found->second.m_ticket;
  };
  for (std::size_t index = 0; index < m_ticket.m_removed_services.size(); ++index) {
    const std::string& name = m_ticket.m_removed_services[index];
    if (set_by(name) <= number) continue;
    AddNumberTooLow(PathOfEntry("removed_services", index), "service " + name, set_by(name), findings);
  }
  static const std::map<std::string, TicketNumber> kNone;
  const auto& removal_tickets = m_input.m_removal_tickets == nullptr ? kNone : *m_input.m_removal_tickets;
  for (std::size_t index = 0; index < m_ticket.m_services.size(); ++index) {
    const std::string& name = m_ticket.m_services[index].m_name;
    if (set_by(name) > number) AddNumberTooLow(PathOfService(index), "service " + name, set_by(name), findings);
    const auto removed = removal_tickets.find(name);
    if (removed == removal_tickets.end() || removed->second <= number) continue;
    AddNumberTooLow(PathOfService(index), "removed service " + name, removed->second, findings);
  }
  for (std::size_t index = 0; index < m_ticket.m_data_centres.size(); ++index) {
    const std::string& name = m_ticket.m_data_centres[index].m_name;
    const auto found = State().m_data_centres.find(name);
    if (found == State().m_data_centres.end() || found->second.m_ticket <= number) continue;
    AddNumberTooLow(PathOfEntry("data_centres", index), "data centre " + name, found->second.m_ticket, findings);
  }
}

void TicketCheck::CheckDataCentreNames(Findings* findings) const {
  if (m_input.m_state == nullptr) return;
  const auto check = [&](const Service& service, const std::string& path, const std::string& name) {
    if (DataCentreAfter(name) != nullptr) return;
    AddError(ErrorCode::kTicketUnknownDataCentre, path + ".data_centre",
             "service " + service.m_name + " names the unknown data centre " + name, findings);
  };
  for (std::size_t index = 0; index < m_ticket.m_services.size(); ++index) {
    const Service& service = m_ticket.m_services[index];
    const std::string path = PathOfService(index);
    for (std::size_t entry = 0; entry < service.m_weights.size(); ++entry) {
      check(service, path + "." + PathOfEntry("weights", entry), service.m_weights[entry].m_data_centre);
    }
    for (std::size_t entry = 0; entry < service.m_admission.size(); ++entry) {
      check(service, path + "." + PathOfEntry("admission", entry), service.m_admission[entry].m_data_centre);
    }
  }
}

void TicketCheck::CheckAddresses(Findings* findings) const {
  std::map<ServiceAddress, std::string> claimed;
  for (std::size_t index = 0; index < m_ticket.m_services.size(); ++index) {
    const Service& service = m_ticket.m_services[index];
    for (std::size_t entry = 0; entry < service.m_addresses.size(); ++entry) {
      const ServiceAddress& address = service.m_addresses[entry];
      const auto add_conflict = [&](const std::string& other) {
        AddError(ErrorCode::kTicketAddressConflict, PathOfService(index) + "." + PathOfEntry("addresses", entry),
                 ToString(address.m_endpoint) + " is claimed by " + service.m_name + " and " + other, findings);
      };
      const auto [claim, is_new] = claimed.emplace(address, service.m_name);
      if (!is_new) {
        add_conflict(claim->second);
        continue;
      }
      // A conflict with a service that the ticket sets is found when its entry is reached.
      for (const std::string& owner : OwnersInForce(address)) {
        if (!Sets(owner) && !Removes(owner)) add_conflict(owner);
      }
    }
  }
}

void TicketCheck::CheckDataCentresInService(Findings* findings) const {
  for (std::size_t index = 0; index < m_ticket.m_services.size(); ++index) {
    const Service& service = m_ticket.m_services[index];
    if (HasNoDataCentreInService(service)) {
      AddNoneInService(PathOfService(index) + ".weights", "service " + service.m_name, findings);
    }
  }
  if (m_input.m_state == nullptr || std::none_of(m_ticket.m_data_centres.begin(), m_ticket.m_data_centres.end(), IsOut))
    return;
  for (const auto& [name, service] : State().m_services) {
    const Service* after = Sets(name) ? nullptr : ServiceAfter(name);
    if (after != nullptr && HasNoDataCentreInService(*after)) {
      AddNoneInService("data_centres", "service " + name, findings);
    }
  }
  const auto& before = State().m_data_centres;
  const bool is_any_set_in_service =
      !std::all_of(m_ticket.m_data_centres.begin(), m_ticket.m_data_centres.end(), IsOut);
  const bool is_any_existing_in_service = std::any_of(
      before.begin(), before.end(), [this](const auto& entry) { return !IsOut(*DataCentreAfter(entry.first)); });
  if (!is_any_set_in_service && !is_any_existing_in_service) {
    AddNoneInService("data_centres", "the deployment", findings);
  }
}

bool TicketCheck::HasNoDataCentreInService(const Service& service) const {
  const bool is_state_known = m_input.m_state != nullptr;
  bool has_known = false;
  for (const DataCentreWeight& weight : service.m_weights) {
    const DataCentre* data_centre = DataCentreAfter(weight.m_data_centre);
    if (data_centre == nullptr && is_state_known) continue;
    const bool may_be_in = data_centre == nullptr || !IsOut(*data_centre);
    if (may_be_in && weight.m_weight > 0) return false;
    has_known = true;
  }
  return has_known;
}

bool TicketCheck::Removes(const std::string& name) const {
  const std::vector<std::string>& removed = m_ticket.m_removed_services;
  return std::find(removed.begin(), removed.end(), name) != removed.end();
}

bool TicketCheck::Sets(const std::string& name) const {
  return std::any_of(m_ticket.m_services.begin(), m_ticket.m_services.end(),
                     [&name](const Service& service) { return service.m_name == name; });
}

const Service* TicketCheck::ServiceAfter(const std::string& name) const {
  for (const Service& service : m_ticket.m_services) {
    if (service.m_name == name) return &service;
  }
  if (Removes(name)) return nullptr;
  const auto found = State().m_services.find(name);
  return found == State().m_services.end() ? nullptr : &found->second;
}

const DataCentre* TicketCheck::DataCentreAfter(const std::string& name) const {
  for (const DataCentre& data_centre : m_ticket.m_data_centres) {
    if (data_centre.m_name == name) return &data_centre;
  }
  const auto found = State().m_data_centres.find(name);
  return found == State().m_data_centres.end() ? nullptr : &found->second;
}

const std::set<std::string>& TicketCheck::OwnersInForce(const ServiceAddress& address) const {
  static const std::set<std::string> kNone;
  if (m_input.m_address_owners == nullptr) return kNone;
  const auto found = m_input.m_address_owners->find(address);
  return found == m_input.m_address_owners->end() ? kNone : found->second;
}

const StateDocument& TicketCheck::State() const noexcept {
  static const StateDocument kEmpty;
  return m_input.m_state == nullptr ? kEmpty : *m_input.m_state;
}

}  // namespace fighatch
