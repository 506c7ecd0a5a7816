#include <algorithm>

#include "fighatch/inner_packet.h"
#include "fighatch/ticket_check.h"
#include "state/ticket_path.h"

namespace fighatch {
namespace {

using Findings = std::vector<TicketFinding>;

void AddWarning(ErrorCode code, std::string path, std::string text, Findings* findings) {
  findings->push_back({code, FindingSeverity::kWarning, std::move(path), std::move(text)});
}

std::string PathInService(std::size_t service, std::string_view list, std::size_t entry) {
  return PathOfService(service) + "." + PathOfEntry(list, entry);
}

// Why no packet can match the address of a service; empty if one can.
std::string_view ReasonNotMatched(const Service& service, const ServiceAddress& address) {
  if (address.m_endpoint.m_port == 0) return "port 0 takes no packets";
  if (IsUnusableAddress(address.m_endpoint.m_address)) return "balancers drop packets to such an address";
  const bool is_tcp_request = service.m_mode == ServiceMode::kRequest && address.m_transport == Transport::kTcp;
  return is_tcp_request ? "requests come in UDP datagrams, so no TCP connection opens" : "";
}

// True if targets that `inner` admits are admitted by `outer` already. Of two equal rules the first one counts.
bool Covers(const std::vector<AdmissionRule>& rules, std::size_t outer, std::size_t inner) {
  const Cidr& wide = rules[outer].m_prefix;
  const Cidr& narrow = rules[inner].m_prefix;
  if (outer == inner || rules[outer].m_data_centre != rules[inner].m_data_centre) return false;
  if (wide.m_prefix_bits > narrow.m_prefix_bits || !wide.Contains(narrow.m_address)) return false;
  return wide.m_prefix_bits < narrow.m_prefix_bits || outer < inner;
}

// Why no request can match an idempotent path; empty if one can.
std::string_view ReasonNotMatched(const Service& service, std::size_t index) {
  const std::vector<std::string>& paths = service.m_idempotent_paths;
  const auto end = paths.begin() + static_cast<std::ptrdiff_t>(index);
  if (service.m_mode != ServiceMode::kRequest) return "a service in flow mode has no requests";
  if (!paths[index].starts_with('/')) return "a path starts with /";
  if (paths[index].find_first_of("? #") != std::string::npos) return "paths are compared without their query";
  return std::find(paths.begin(), end, paths[index]) != end ? "the path is given twice" : "";
}

bool HasRule(const Service& service, const std::string& data_centre) {
  return std::any_of(service.m_admission.begin(), service.m_admission.end(),
                     [&](const AdmissionRule& rule) { return rule.m_data_centre == data_centre; });
}

const DataCentreWeight* FindWeight(const Service& service, const std::string& data_centre) {
  const auto found = std::find_if(service.m_weights.begin(), service.m_weights.end(),
                                  [&](const DataCentreWeight& weight) { return weight.m_data_centre == data_centre; });
  return found == service.m_weights.end() ? nullptr : &*found;
}

}  // namespace

std::vector<TicketFinding> TicketCheck::FindWarnings() const {
  Findings findings;
  if (m_ticket.m_force) {
    CheckSafety(&findings);
    for (TicketFinding& finding : findings) {
      finding.m_severity = FindingSeverity::kWarning;
      finding.m_text += " (overridden by force)";
    }
  }
  for (std::size_t index = 0; index < m_ticket.m_services.size(); ++index) {
    FindUnmatchableAddresses(index, &findings);
    FindShadowedPrefixes(index, &findings);
    FindUnreachableService(index, &findings);
    FindUnmatchablePaths(index, &findings);
    FindRepeatedWeights(index, &findings);
    FindWeightsWithoutTargets(index, &findings);
    FindAdmissionWithoutWeight(index, &findings);
    FindSharesBelowSlot(index, &findings);
  }
  FindRemovalsWithoutEffect(&findings);
  return findings;
}

void TicketCheck::FindUnmatchableAddresses(std::size_t index, Findings* findings) const {
  const Service& service = m_ticket.m_services[index];
  for (std::size_t entry = 0; entry < service.m_addresses.size(); ++entry) {
    const ServiceAddress& address = service.m_addresses[entry];
    const std::string_view reason = ReasonNotMatched(service, address);
    if (reason.empty()) continue;
    AddWarning(ErrorCode::kTicketAddressUnmatchable, PathInService(index, "addresses", entry),
               ToString(address.m_endpoint) + ": " + std::string(reason), findings);
  }
}

void TicketCheck::FindShadowedPrefixes(std::size_t index, Findings* findings) const {
  const std::vector<AdmissionRule>& rules = m_ticket.m_services[index].m_admission;
  for (std::size_t inner = 0; inner < rules.size(); ++inner) {
    for (std::size_t outer = 0; outer < rules.size(); ++outer) {
      if (!Covers(rules, outer, inner)) continue;
      AddWarning(ErrorCode::kTicketPrefixHidden, PathInService(index, "admission", inner) + ".prefix",
                 ToString(rules[inner].m_prefix) + " is covered by " + ToString(rules[outer].m_prefix) + " in " +
                     PathOfEntry("admission", outer),
                 findings);
      break;
    }
  }
}

void TicketCheck::FindUnreachableService(std::size_t index, Findings* findings) const {
  const Service& service = m_ticket.m_services[index];
  const std::string path = PathOfService(index) + ".addresses";
  if (service.m_addresses.empty()) {
    AddWarning(ErrorCode::kTicketServiceHidden, path, "service " + service.m_name + " has no address", findings);
    return;
  }
  std::set<std::string> owners;
  for (const ServiceAddress& address : service.m_addresses) {
    const std::string owner = PreferredOwner(address, service.m_name);
    if (owner.empty()) return;
    owners.insert(owner);
  }
  std::string names;
  for (const std::string& owner : owners) names += (names.empty() ? "" : ", ") + owner;
  AddWarning(ErrorCode::kTicketServiceHidden, path,
             "packets for every address of " + service.m_name + " go to " + names, findings);
}

std::uint64_t TicketCheck::IdAfter(const std::string& name) const {
  const auto found = State().m_services.find(name);
  if (found != State().m_services.end() && !Removes(name)) return found->second.m_id.m_value;
  // A new service gets an id above those of the state, in the order of the ticket.
  const auto& services = m_ticket.m_services;
  const auto added =
      std::find_if(services.begin(), services.end(), [&](const Service& service) { return service.m_name == name; });
  return State().m_last_service_id + 1ULL + static_cast<std::uint64_t>(added - services.begin());
}

std::string TicketCheck::PreferredOwner(const ServiceAddress& address, const std::string& name) const {
  // The ids decide, and they are known only together with the state.
  if (m_input.m_state == nullptr) return {};
  std::set<std::string> owners;
  for (const std::string& owner : OwnersInForce(address)) {
    if (!Sets(owner) && !Removes(owner)) owners.insert(owner);
  }
  for (const Service& service : m_ticket.m_services) {
    const auto& addresses = service.m_addresses;
    if (std::find(addresses.begin(), addresses.end(), address) != addresses.end()) owners.insert(service.m_name);
  }
  owners.erase(name);
  const auto first = std::min_element(
      owners.begin(), owners.end(),
      [this](const std::string& left, const std::string& right) { return IdAfter(left) < IdAfter(right); });
  return first != owners.end() && IdAfter(*first) < IdAfter(name) ? *first : std::string();
}

void TicketCheck::FindUnmatchablePaths(std::size_t index, Findings* findings) const {
  const Service& service = m_ticket.m_services[index];
  for (std::size_t entry = 0; entry < service.m_idempotent_paths.size(); ++entry) {
    const std::string_view reason = ReasonNotMatched(service, entry);
    if (reason.empty()) continue;
    AddWarning(ErrorCode::kTicketPathUnmatchable, PathInService(index, "idempotent_paths", entry),
               service.m_idempotent_paths[entry] + ": " + std::string(reason), findings);
  }
}

void TicketCheck::FindRepeatedWeights(std::size_t index, Findings* findings) const {
  const Service& service = m_ticket.m_services[index];
  for (std::size_t entry = 0; entry < service.m_weights.size(); ++entry) {
    const DataCentreWeight& weight = service.m_weights[entry];
    const DataCentreWeight* first = FindWeight(service, weight.m_data_centre);
    if (first == &weight) continue;
    AddWarning(ErrorCode::kTicketWeightRepeated, PathInService(index, "weights", entry),
               "data centre " + weight.m_data_centre + " has the weights " + std::to_string(first->m_weight) + " and " +
                   std::to_string(weight.m_weight),
               findings);
  }
}

void TicketCheck::FindWeightsWithoutTargets(std::size_t index, Findings* findings) const {
  const Service& service = m_ticket.m_services[index];
  if (service.m_admission.empty()) {
    AddWarning(ErrorCode::kTicketWeightWithoutTargets, PathOfService(index) + ".admission",
               "service " + service.m_name + " admits no targets", findings);
    return;
  }
  // Balancers dispatch requests to the targets of their own data centre, whatever the weights.
  if (service.m_mode != ServiceMode::kFlow) return;
  for (std::size_t entry = 0; entry < service.m_weights.size(); ++entry) {
    const DataCentreWeight& weight = service.m_weights[entry];
    if (weight.m_weight == 0 || HasRule(service, weight.m_data_centre)) continue;
    AddWarning(ErrorCode::kTicketWeightWithoutTargets, PathInService(index, "weights", entry),
               "service " + service.m_name + " admits no targets in " + weight.m_data_centre, findings);
  }
}

void TicketCheck::FindAdmissionWithoutWeight(std::size_t index, Findings* findings) const {
  const Service& service = m_ticket.m_services[index];
  // Without weights all data centres with admission rules have equal shares.
  if (service.m_mode != ServiceMode::kFlow || service.m_weights.empty()) return;
  for (std::size_t entry = 0; entry < service.m_admission.size(); ++entry) {
    const std::string& data_centre = service.m_admission[entry].m_data_centre;
    if (FindWeight(service, data_centre) != nullptr) continue;
    AddWarning(ErrorCode::kTicketAdmissionWithoutWeight, PathInService(index, "admission", entry) + ".data_centre",
               "data centre " + data_centre + " has no weight, so that its targets get no flows", findings);
  }
}

void TicketCheck::FindSharesBelowSlot(std::size_t index, Findings* findings) const {
  const Service& service = m_ticket.m_services[index];
  if (service.m_mode != ServiceMode::kFlow) return;
  std::uint64_t total = 0;
  for (const DataCentreWeight& weight : service.m_weights) total += weight.m_weight;
  for (std::size_t entry = 0; entry < service.m_weights.size(); ++entry) {
    const std::uint64_t weight = service.m_weights[entry].m_weight;
    if (weight == 0 || weight * service.m_hash_slots >= total) continue;
    AddWarning(ErrorCode::kTicketShareBelowSlot, PathInService(index, "weights", entry) + ".weight",
               std::to_string(weight) + " of " + std::to_string(total) + " is less than one of " +
                   std::to_string(service.m_hash_slots) + " hash slots",
               findings);
  }
}

void TicketCheck::FindRemovalsWithoutEffect(Findings* findings) const {
  std::set<std::string> seen;
  for (std::size_t index = 0; index < m_ticket.m_removed_services.size(); ++index) {
    const std::string& name = m_ticket.m_removed_services[index];
    const bool is_unknown = m_input.m_state != nullptr && !State().m_services.contains(name);
    const bool is_repeated = !seen.insert(name).second;
    if (!is_unknown && !is_repeated) continue;
    AddWarning(ErrorCode::kTicketRemovalWithoutEffect, PathOfEntry("removed_services", index),
               "service " + name + (is_repeated ? " is removed twice" : " does not exist"), findings);
  }
}

}  // namespace fighatch
