#ifndef FIGHATCH_KEY_RING_H_
#define FIGHATCH_KEY_RING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "fighatch/result.h"

namespace fighatch {

/// The purpose of a key. A key of one kind is never used for the purpose of another.
enum class KeyKind : std::uint8_t {
  /// Seals messages between daemons.
  kCluster = 0,
  /// Signs tickets.
  kOperator = 1,
  /// Signs announcements of targets.
  kTarget = 2,
};

/// "cluster", "operator" or "target".
[[nodiscard]] std::string_view KeyKindName(KeyKind kind) noexcept;

inline constexpr std::size_t kKeyBytes = 32;
using KeyBytes = std::array<std::byte, kKeyBytes>;

/// A key file as the settings name it. The file holds 64 hexadecimal digits; white space at its end is ignored.
struct KeyFile {
  KeyKind m_kind = KeyKind::kCluster;
  /// Chosen by the operator and the same on every host.
  std::uint32_t m_id = 0;
  std::string m_path;
  /// True for the one key of its kind that new messages are sealed with; the others are only accepted.
  bool m_active = false;
};

/// The keys that a process accepts, several of each kind at once, so that keys can be rotated without downtime: first
/// every host accepts the new key, then every host seals with it, then the old one is removed.
///
/// \code
/// Result<KeyRing> ring = KeyRing::Load(settings.m_keys);
/// if (IsOk(ring)) keys = std::move(ValueOf(ring));  // A reload that fails leaves the keys in use as they are.
/// \endcode
class KeyRing {
 public:
  KeyRing() = default;
  KeyRing(const KeyRing&) = default;
  KeyRing(KeyRing&&) = default;
  KeyRing& operator=(const KeyRing&) = default;
  KeyRing& operator=(KeyRing&&) = default;
  /// Wipes the keys from memory.
  ~KeyRing();

  /// Reads all files. Errors: `kKeyUnreadable` with the path or the key, also for a repeated id and for a kind with
  /// no or with several active keys.
  [[nodiscard]] static Result<KeyRing> Load(std::span<const KeyFile> files);

  /// Parses the text of one key file. Errors: `kKeyUnreadable`.
  [[nodiscard]] static Result<KeyBytes> ParseKey(std::string_view text);

  /// Adds a key. Errors: `kKeyUnreadable` if the id is in use, or if `active` is set and the kind has an active key.
  [[nodiscard]] Status Add(KeyKind kind, std::uint32_t id, const KeyBytes& key, bool active);

  /// The key, or null if the ring does not hold it.
  [[nodiscard]] const KeyBytes* Find(KeyKind kind, std::uint32_t id) const noexcept;

  /// The id of the key to seal with. Errors: `kMessageUnknownKey` if there is none.
  [[nodiscard]] Result<std::uint32_t> ActiveId(KeyKind kind) const;

 private:
  std::map<std::pair<KeyKind, std::uint32_t>, KeyBytes> m_keys;
  std::map<KeyKind, std::uint32_t> m_active;
};

}  // namespace fighatch

#endif  // FIGHATCH_KEY_RING_H_
