#include "fighatch/incarnation.h"

#include <algorithm>

#include "fighatch/hash.h"
#include "wire/codec.h"

namespace fighatch {
namespace {

constexpr const char* kFileName = "incarnation";

struct StoredIncarnation {
  Incarnation m_incarnation;
  std::uint64_t m_checksum = 0;

  [[nodiscard]] std::uint64_t Checksum() const noexcept { return MixHash(m_incarnation.m_value, 1); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_incarnation, m_checksum);
  }
};

// Returns 0 if the content is missing, torn or corrupt.
Incarnation Parse(std::span<const std::byte> bytes) {
  Result<StoredIncarnation> stored = wire::Decode<StoredIncarnation>(bytes);
  if (!IsOk(stored) || ValueOf(stored).m_checksum != ValueOf(stored).Checksum()) return {};
  return ValueOf(stored).m_incarnation;
}

}  // namespace

Incarnation NextIncarnation(Incarnation stored, std::uint64_t wall_clock_us) noexcept {
  return {std::max(stored.m_value + 1, wall_clock_us)};
}

Result<Incarnation> AllocateIncarnation(FileStore* store, std::uint64_t wall_clock_us) {
  if (store == nullptr) return NextIncarnation({}, wall_clock_us);
  Result<std::vector<std::byte>> bytes = store->Read(kFileName);
  if (!IsOk(bytes)) return ErrorOf(bytes);
  StoredIncarnation next{NextIncarnation(Parse(ValueOf(bytes)), wall_clock_us), 0};
  next.m_checksum = next.Checksum();
  Status stored = store->Replace(kFileName, wire::Encode(next));
  if (!IsOk(stored)) return ErrorOf(stored);
  return next.m_incarnation;
}

}  // namespace fighatch
