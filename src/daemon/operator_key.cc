#include "daemon/operator_key.h"

#include <sodium.h>

#include "config/json_reader.h"

namespace fighatch::daemon {
namespace {

static_assert(crypto_auth_KEYBYTES == 32, "crypto_auth is HMAC-SHA-512/256 with a key of 32 bytes");

const unsigned char* Bytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

bool DecodeHex(std::string_view text, std::array<unsigned char, 32>* out) {
  std::size_t size = 0;
  const char* end = nullptr;
  const int status = sodium_hex2bin(out->data(), out->size(), text.data(), text.size(), nullptr, &size, &end);
  return status == 0 && size == out->size() && end == text.data() + text.size();
}

}  // namespace

Result<OperatorKey> OperatorKey::Load(const std::string& path) {
  Result<std::string> text = config::ReadTextFile(path);
  if (!IsOk(text)) return MakeError(ErrorCode::kKeyUnreadable, path + ": cannot be read");
  std::string& digits = ValueOf(text);
  while (!digits.empty() && (digits.back() == '\n' || digits.back() == '\r' || digits.back() == ' ')) digits.pop_back();
  OperatorKey key;
  if (!DecodeHex(digits, &key.m_key)) return MakeError(ErrorCode::kKeyUnreadable, path + ": not 64 hexadecimal digits");
  return key;
}

std::string OperatorKey::Sign(std::string_view text) const {
  std::array<unsigned char, crypto_auth_BYTES> mac{};
  crypto_auth(mac.data(), Bytes(text), text.size(), m_key.data());
  std::string hex(mac.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), mac.data(), mac.size());
  hex.pop_back();
  return hex;
}

bool OperatorKey::Verify(std::string_view text, std::string_view signature) const {
  std::array<unsigned char, crypto_auth_BYTES> mac{};
  if (!DecodeHex(signature, &mac)) return false;
  return crypto_auth_verify(mac.data(), Bytes(text), text.size(), m_key.data()) == 0;
}

}  // namespace fighatch::daemon
