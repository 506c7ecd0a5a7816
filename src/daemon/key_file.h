#ifndef FIGHATCH_DAEMON_KEY_FILE_H_
#define FIGHATCH_DAEMON_KEY_FILE_H_

#include <cstdint>
#include <span>
#include <string>

#include "fighatch/result.h"

namespace fighatch::daemon {

/// Reads a key of exactly the span's size from a file with its hexadecimal form; white space around it is ignored.
/// Errors: `kKeyUnreadable`.
[[nodiscard]] Status ReadKeyFile(const std::string& path, std::span<std::uint8_t> key);

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_KEY_FILE_H_
