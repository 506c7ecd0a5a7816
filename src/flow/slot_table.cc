#include "fighatch/slot_table.h"

#include <algorithm>
#include <array>
#include <bit>

#include "fighatch/hash.h"

namespace fighatch {
namespace {

constexpr int kLogTableBits = 10;
constexpr int kLogFractionBits = 26;

/// log2(1 + index / 1024) with 26 fraction bits, by repeated squaring. Integers only: floating-point libraries differ
/// between hosts in the last bit.
constexpr std::uint32_t FractionOfLog(std::uint32_t index) {
  std::uint64_t mantissa = (std::uint64_t{1} << 31U) + (static_cast<std::uint64_t>(index) << (31 - kLogTableBits));
  std::uint32_t result = 0;
  for (int bit = 0; bit < kLogFractionBits; ++bit) {
    mantissa = (mantissa * mantissa) >> 31U;
    result <<= 1U;
    if (mantissa >= (std::uint64_t{1} << 32U)) {
      mantissa >>= 1U;
      result |= 1U;
    }
  }
  return result;
}

constexpr auto kLogTable = [] {
  std::array<std::uint32_t, (1U << kLogTableBits) + 1> table{};
  for (std::uint32_t index = 0; index < (1U << kLogTableBits); ++index) table[index] = FractionOfLog(index);
  table[1U << kLogTableBits] = 1U << kLogFractionBits;
  return table;
}();

/// -log2(hash / 2^64) with 26 fraction bits; monotonically non-increasing in the hash.
std::uint64_t NegativeLog(std::uint64_t hash) noexcept {
  hash |= 1U;
  const int shift = std::countl_zero(hash);
  const std::uint64_t mantissa = (hash << static_cast<unsigned>(shift)) << 1U;
  const auto index = static_cast<std::uint32_t>(mantissa >> (64U - kLogTableBits));
  const std::uint64_t rest = (mantissa >> (64U - kLogTableBits - 20U)) & 0xFFFFFU;
  const std::uint64_t low = kLogTable[index];
  const std::uint64_t log = low + (((kLogTable[index + 1] - low) * rest) >> 20U);
  return ((static_cast<std::uint64_t>(shift) + 1U) << kLogFractionBits) - log;
}

/// Combines the hashes of an owner and a slot. Both are well mixed, so two multiplications suffice to spread their
/// combination over the upper bits.
std::uint64_t RendezvousHash(std::uint64_t seed, std::uint64_t slot_hash) noexcept {
  std::uint64_t hash = (seed ^ slot_hash) * 0xBF58476D1CE4E5B9ULL;
  hash ^= hash >> 29U;
  return hash * 0x94D049BB133111EBULL;
}

/// Owners of equal weight. Among them the highest hash wins, so only one logarithm is needed for each weight.
struct WeightClass {
  std::uint16_t m_weight = 0;
  std::vector<std::uint64_t> m_seeds;
  std::vector<std::uint16_t> m_indexes;
};

std::vector<WeightClass> GroupByWeight(std::span<const OwnerEntry> owners) {
  std::vector<std::uint16_t> order;
  for (std::size_t index = 0; index < owners.size() && index < kNoOwner; ++index) {
    if (owners[index].m_weight > 0) order.push_back(static_cast<std::uint16_t>(index));
  }
  std::sort(order.begin(), order.end(), [&](std::uint16_t left, std::uint16_t right) {
    return std::pair(owners[left].m_weight, owners[left].m_id) < std::pair(owners[right].m_weight, owners[right].m_id);
  });
  std::vector<WeightClass> classes;
  for (const std::uint16_t index : order) {
    if (classes.empty() || classes.back().m_weight != owners[index].m_weight) {
      classes.push_back({owners[index].m_weight, {}, {}});
    }
    classes.back().m_seeds.push_back(MixHash(owners[index].m_id, 0));
    classes.back().m_indexes.push_back(index);
  }
  return classes;
}

std::uint16_t FindSlotOwner(const std::vector<WeightClass>& classes, std::uint32_t slot) noexcept {
  const std::uint64_t slot_hash = MixHash(slot, 1);
  std::uint16_t owner = kNoOwner;
  std::uint64_t best_score = 0;
  std::uint64_t best_hash = 0;
  for (const WeightClass& weight_class : classes) {
    std::size_t top = 0;
    std::uint64_t top_hash = 0;
    for (std::size_t index = 0; index < weight_class.m_seeds.size(); ++index) {
      const std::uint64_t hash = RendezvousHash(weight_class.m_seeds[index], slot_hash);
      top = hash > top_hash ? index : top;
      top_hash = std::max(hash, top_hash);
    }
    if (classes.size() == 1) return weight_class.m_indexes[top];
    const std::uint64_t score = (NegativeLog(top_hash) << 31U) / weight_class.m_weight;
    if (owner != kNoOwner && std::pair(score, ~top_hash) >= std::pair(best_score, ~best_hash)) continue;
    owner = weight_class.m_indexes[top];
    best_score = score;
    best_hash = top_hash;
  }
  return owner;
}

}  // namespace

std::uint16_t SlotOwner(std::span<const OwnerEntry> owners, std::uint32_t slot) noexcept {
  return FindSlotOwner(GroupByWeight(owners), slot);
}

std::vector<std::uint16_t> OwnersOfSlots(std::span<const OwnerEntry> owners, std::uint32_t slots) {
  const std::vector<WeightClass> classes = GroupByWeight(owners);
  std::vector<std::uint16_t> result(slots, kNoOwner);
  if (classes.empty()) return result;
  if (classes.size() == 1 && classes.front().m_indexes.size() == 1) {
    std::fill(result.begin(), result.end(), classes.front().m_indexes.front());
    return result;
  }
  for (std::uint32_t slot = 0; slot < slots; ++slot) result[slot] = FindSlotOwner(classes, slot);
  return result;
}

}  // namespace fighatch
