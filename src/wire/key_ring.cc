#include "fighatch/key_ring.h"

#include <sodium.h>

#include "config/json_reader.h"

namespace fighatch {
namespace {

constexpr std::array<std::string_view, 3> kKindNames = {"cluster", "operator", "target"};
constexpr std::string_view kWhiteSpace = " \t\r\n";

Error KeyError(const std::string& where, std::string_view what) {
  return MakeError(ErrorCode::kKeyUnreadable, where + ": " + std::string(what));
}

std::string KeyName(KeyKind kind, std::uint32_t id) {
  return std::string(KeyKindName(kind)) + " key " + std::to_string(id);
}

Status AddFile(const KeyFile& file, KeyRing* ring) {
  Result<std::string> text = config::ReadTextFile(file.m_path);
  if (!IsOk(text)) return KeyError(file.m_path, "cannot be read");
  Result<KeyBytes> key = KeyRing::ParseKey(ValueOf(text));
  sodium_memzero(ValueOf(text).data(), ValueOf(text).size());
  if (!IsOk(key)) return KeyError(file.m_path, ErrorOf(key).m_detail);
  Status added = ring->Add(file.m_kind, file.m_id, ValueOf(key), file.m_active);
  sodium_memzero(ValueOf(key).data(), kKeyBytes);
  return added;
}

}  // namespace

std::string_view KeyKindName(KeyKind kind) noexcept {
  const auto index = static_cast<std::size_t>(kind);
  return index < kKindNames.size() ? kKindNames[index] : "unknown";
}

KeyRing::~KeyRing() {
  for (auto& [name, key] : m_keys) sodium_memzero(key.data(), key.size());
}

Result<KeyRing> KeyRing::Load(std::span<const KeyFile> files) {
  KeyRing ring;
  for (const KeyFile& file : files) {
    Status added = AddFile(file, &ring);
    if (!IsOk(added)) return ErrorOf(added);
  }
  for (const auto& [name, key] : ring.m_keys) {
    if (!ring.m_active.contains(name.first)) return KeyError(KeyName(name.first, name.second), "no active key");
  }
  return ring;
}

Result<KeyBytes> KeyRing::ParseKey(std::string_view text) {
  const std::size_t last = text.find_last_not_of(kWhiteSpace);
  text = text.substr(0, last == std::string_view::npos ? 0 : last + 1);
  KeyBytes key{};
  std::size_t size = 0;
  const char* end = nullptr;
  const int failed = sodium_hex2bin(reinterpret_cast<unsigned char*>(key.data()), key.size(), text.data(), text.size(),
                                    nullptr, &size, &end);
  if (failed != 0 || size != kKeyBytes || end != text.data() + text.size())
    return MakeError(ErrorCode::kKeyUnreadable, "not 64 hexadecimal digits");
  return key;
}

Status KeyRing::Add(KeyKind kind, std::uint32_t id, const KeyBytes& key, bool active) {
  if (active && m_active.contains(kind)) return KeyError(KeyName(kind, id), "a second active key");
  if (!m_keys.emplace(std::pair(kind, id), key).second) return KeyError(KeyName(kind, id), "id used twice");
  if (active) m_active[kind] = id;
  return OkStatus();
}

const KeyBytes* KeyRing::Find(KeyKind kind, std::uint32_t id) const noexcept {
  const auto found = m_keys.find({kind, id});
  return found != m_keys.end() ? &found->second : nullptr;
}

Result<std::uint32_t> KeyRing::ActiveId(KeyKind kind) const {
  const auto found = m_active.find(kind);
  if (found == m_active.end()) return MakeError(ErrorCode::kMessageUnknownKey, "no active key");
  return found->second;
}

}  // namespace fighatch
