#include "daemon/http_authenticator.h"

#include <sodium.h>

#include <charconv>
#include <vector>

namespace fighatch::daemon {
namespace {

constexpr std::string_view kHttpKeyPurpose = "fighatch http";

const unsigned char* Bytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

std::string ComputeMacHex(const KeyBytes& key, std::string_view text) {
  const std::array<std::uint8_t, 32> derived = DeriveKey(key, kHttpKeyPurpose);
  std::array<unsigned char, crypto_auth_BYTES> mac;
  crypto_auth(mac.data(), Bytes(text), text.size(), derived.data());
  std::array<char, 2 * crypto_auth_BYTES + 1> hex;
  return sodium_bin2hex(hex.data(), hex.size(), mac.data(), mac.size());
}

}  // namespace

std::array<std::uint8_t, 32> DeriveKey(const KeyBytes& cluster_key, std::string_view purpose) {
  std::array<std::uint8_t, 32> key{};
  crypto_generichash(key.data(), key.size(), Bytes(purpose), purpose.size(),
                     reinterpret_cast<const unsigned char*>(cluster_key.data()), cluster_key.size());
  return key;
}

Result<std::string> HttpAuthenticator::Sign(std::string_view text) const {
  const Result<std::uint32_t> id = m_keys.ActiveId(KeyKind::kCluster);
  if (!IsOk(id)) return ErrorOf(id);
  return std::to_string(ValueOf(id)) + ":" + ComputeMacHex(*m_keys.Find(KeyKind::kCluster, ValueOf(id)), text);
}

Status HttpAuthenticator::Verify(std::string_view text, std::string_view header) const {
  std::uint32_t id = 0;
  const auto [end, error] = std::from_chars(header.data(), header.data() + header.size(), id);
  if (error != std::errc() || end == header.data() + header.size() || *end != ':') {
    return MakeError(ErrorCode::kMessageMalformed, std::string(kHttpSignatureHeader));
  }
  const KeyBytes* key = m_keys.Find(KeyKind::kCluster, id);
  if (key == nullptr) return MakeError(ErrorCode::kMessageUnknownKey, std::to_string(id));
  const std::string expected = ComputeMacHex(*key, text);
  const std::string_view received(end + 1, static_cast<std::size_t>(header.data() + header.size() - end - 1));
  const bool is_equal =
      received.size() == expected.size() && sodium_memcmp(received.data(), expected.data(), received.size()) == 0;
  return is_equal ? OkStatus() : Status(MakeError(ErrorCode::kMessageForged, "http"));
}

std::string HttpAuthenticator::SignedResponseText(std::string_view path, std::string_view body) {
  std::string text(path);
  return text.append("\n").append(body);
}

}  // namespace fighatch::daemon
