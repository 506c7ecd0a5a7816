#ifndef FIGHATCH_DAEMON_HTTP_QUERY_H_
#define FIGHATCH_DAEMON_HTTP_QUERY_H_

#include <map>
#include <string>
#include <string_view>

namespace fighatch::daemon {

/// Returns the parameters of a URL query such as `a=1&b=2` by name. Percent escapes are not decoded, parts without `=`
/// are skipped, and the first of several parameters of one name counts.
[[nodiscard]] std::map<std::string, std::string> ParseQuery(std::string_view query);

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_HTTP_QUERY_H_
