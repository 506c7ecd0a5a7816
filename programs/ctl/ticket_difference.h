#ifndef FIGHATCH_PROGRAMS_CTL_TICKET_DIFFERENCE_H_
#define FIGHATCH_PROGRAMS_CTL_TICKET_DIFFERENCE_H_

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/ticket.h"

namespace fighatch::ctl {

/// What a ticket does to an object of the state.
enum class ObjectChange { kAdd, kChange, kRemove };

/// "add", "change" or "remove".
[[nodiscard]] std::string_view ObjectChangeName(ObjectChange change) noexcept;

/// A field in which an object of the state differs from what a ticket sets, or a service that it removes.
struct TicketDifference {
  ObjectChange m_change = ObjectChange::kChange;
  /// "service" or "data centre".
  std::string m_kind;
  std::string m_name;
  /// Empty for a removed service.
  std::string m_field;
  /// The field in the state; null if the state has no such object.
  nlohmann::json m_before;
  /// The field in the ticket.
  nlohmann::json m_after;
};

/// What a ticket adds to, changes in and removes from a state in its JSON form.
[[nodiscard]] std::vector<TicketDifference> DifferencesOf(const Ticket& ticket, const nlohmann::json& state);

/// Prints each difference as a line with the old value and a line with the new one.
void PrintDifferences(const std::vector<TicketDifference>& differences, std::ostream& out);

/// The JSON form of the differences.
[[nodiscard]] nlohmann::ordered_json DifferencesToJson(const std::vector<TicketDifference>& differences);

/// The entry of a list of JSON objects that has this name; null if there is none.
[[nodiscard]] const nlohmann::json* FindByName(const nlohmann::json& list, const std::string& name);

}  // namespace fighatch::ctl

#endif  // FIGHATCH_PROGRAMS_CTL_TICKET_DIFFERENCE_H_
