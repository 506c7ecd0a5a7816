#include "daemon/key_file.h"

#include <sodium.h>

#include "config/json_reader.h"

namespace fighatch::daemon {

Status ReadKeyFile(const std::string& path, std::span<std::uint8_t> key) {
  const Result<std::string> text = config::ReadTextFile(path);
  if (!IsOk(text)) return MakeError(ErrorCode::kKeyUnreadable, path);
  std::size_t size = 0;
  const char* end = nullptr;
  const std::string& hex = ValueOf(text);
  const int result = sodium_hex2bin(key.data(), key.size(), hex.data(), hex.size(), " \t\r\n", &size, &end);
  if (result != 0 || size != key.size() || end != hex.data() + hex.size()) {
    return MakeError(ErrorCode::kKeyUnreadable, path + ": not " + std::to_string(key.size()) + " bytes in hexadecimal");
  }
  return OkStatus();
}

}  // namespace fighatch::daemon
