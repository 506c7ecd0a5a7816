#include "ticket_difference.h"

#include <algorithm>
#include <array>

#include "state/state_json.h"

namespace fighatch::ctl {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::array<std::string_view, 3> kObjectChangeNames{"add", "change", "remove"};

// Adds the fields in which `after`, an object of a ticket, differs from the object of the same name in `state_list`.
void AddDifferences(const std::string& kind, const json& after, const json& state_list,
                    std::vector<TicketDifference>* differences) {
  const std::string name = after.value("name", "");
  const json* before = FindByName(state_list, name);
  const ObjectChange change = before == nullptr ? ObjectChange::kAdd : ObjectChange::kChange;
  for (const auto& [field, value] : after.items()) {
    if (field == "id" || field == "ticket") continue;
    const json old = before == nullptr ? json() : before->value(field, json());
    if (old != value) differences->push_back({change, kind, name, field, old, value});
  }
}

}  // namespace

std::string_view ObjectChangeName(ObjectChange change) noexcept {
  return kObjectChangeNames.at(static_cast<std::size_t>(change));
}

const json* FindByName(const json& list, const std::string& name) {
  const auto found =
      std::find_if(list.begin(), list.end(), [&name](const json& entry) { return entry.value("name", "") == name; });
  return found == list.end() ? nullptr : &*found;
}

std::vector<TicketDifference> DifferencesOf(const Ticket& ticket, const json& state) {
  const json services = state.value("services", json::array());
  const json data_centres = state.value("data_centres", json::array());
  std::vector<TicketDifference> differences;
  for (const DataCentre& data_centre : ticket.m_data_centres) {
    AddDifferences("data centre", json(DataCentreToJson(data_centre)), data_centres, &differences);
  }
  for (const Service& service : ticket.m_services) {
    AddDifferences("service", json(ServiceToJson(service)), services, &differences);
  }
  for (const std::string& name : ticket.m_removed_services) {
    if (FindByName(services, name) == nullptr) continue;
    differences.push_back({ObjectChange::kRemove, "service", name, {}, {}, {}});
  }
  return differences;
}

void PrintDifferences(const std::vector<TicketDifference>& differences, std::ostream& out) {
  for (const TicketDifference& difference : differences) {
    const std::string object = difference.m_kind + " " + difference.m_name;
    if (difference.m_change == ObjectChange::kRemove) {
      out << "- " << object << "\n";
      continue;
    }
    const std::string field = object + " " + difference.m_field + " ";
    if (!difference.m_before.is_null()) out << "- " << field << difference.m_before.dump() << "\n";
    out << "+ " << field << difference.m_after.dump() << "\n";
  }
}

ordered_json DifferencesToJson(const std::vector<TicketDifference>& differences) {
  ordered_json list = ordered_json::array();
  for (const TicketDifference& difference : differences) {
    ordered_json& entry = list.emplace_back(ordered_json{
        {"change", ObjectChangeName(difference.m_change)}, {"object", difference.m_kind}, {"name", difference.m_name}});
    if (difference.m_change == ObjectChange::kRemove) continue;
    entry["field"] = difference.m_field;
    entry["before"] = difference.m_before;
    entry["after"] = difference.m_after;
  }
  return list;
}

}  // namespace fighatch::ctl
