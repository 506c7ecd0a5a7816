#ifndef FIGHATCH_DAEMON_HTTP_QUERY_H_
#define FIGHATCH_DAEMON_HTTP_QUERY_H_

#include <map>
#include <string>
#include <string_view>

namespace fighatch::daemon {

/// The fields of a query such as `a=1&b=2`, without decoding of escapes. Parts without `=` are left out.
[[nodiscard]] std::map<std::string, std::string> ParseQuery(std::string_view query);

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_HTTP_QUERY_H_
