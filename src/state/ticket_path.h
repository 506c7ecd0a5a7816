#ifndef FIGHATCH_STATE_TICKET_PATH_H_
#define FIGHATCH_STATE_TICKET_PATH_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace fighatch {

/// The path of an entry of a list, for example `weights[0]`.
inline std::string PathOfEntry(std::string_view list, std::size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

/// The path of a service in a ticket.
inline std::string PathOfService(std::size_t index) { return PathOfEntry("services", index); }

}  // namespace fighatch

#endif  // FIGHATCH_STATE_TICKET_PATH_H_
