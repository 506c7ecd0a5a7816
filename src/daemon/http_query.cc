#include "daemon/http_query.h"

#include <algorithm>

namespace fighatch::daemon {

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> parameters;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    parameters.emplace(pair.substr(0, equals), pair.substr(equals + 1));
  }
  return parameters;
}

}  // namespace fighatch::daemon
