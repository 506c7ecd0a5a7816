#ifndef FIGHATCH_IDS_H_
#define FIGHATCH_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace fighatch {

/// An integer id of its own type, so that the compiler rejects the mixing of ids of different kinds. `Tag` only tells
/// the kinds apart and is never defined.
template <typename Tag, typename Rep>
struct StrongId {
  using Representation = Rep;

  Rep m_value = 0;

  // clang-tidy 14 mistakes the 0 that the compiler compares the result with for a null pointer.
  friend constexpr auto operator<=>(const StrongId&, const StrongId&) = default;  // NOLINT(modernize-use-nullptr)

  /// Serialises the id as its number.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_value);
  }
};

/// A daemon such as a balancer or control host; unique across all data centres and taken from the daemon's settings.
using HostId = StrongId<struct HostIdTag, std::uint32_t>;
/// A data centre, numbered by the state document.
using DataCentreId = StrongId<struct DataCentreIdTag, std::uint16_t>;
/// A service, numbered by the state document; a number is never reused.
using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;
/// A target. The id is a hash of the target's service and address, so that every host derives the same id without
/// coordination.
using TargetId = StrongId<struct TargetIdTag, std::uint64_t>;
/// One start of a process or target; a later start has a higher number.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// The number of a ticket, chosen by operators.
using TicketNumber = StrongId<struct TicketNumberTag, std::uint64_t>;

/// The version of replicated state: compared by epoch (the term of its writer), then by generation.
struct Version {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_generation = 0;

  friend constexpr auto operator<=>(const Version&, const Version&) = default;  // NOLINT(modernize-use-nullptr)

  /// Serialises both numbers.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_epoch, m_generation);
  }
};

}  // namespace fighatch

/// Hashes a strong id by its number.
template <typename Tag, typename Rep>
struct std::hash<fighatch::StrongId<Tag, Rep>> {
  std::size_t operator()(const fighatch::StrongId<Tag, Rep>& id) const noexcept { return std::hash<Rep>()(id.m_value); }
};

#endif  // FIGHATCH_IDS_H_
