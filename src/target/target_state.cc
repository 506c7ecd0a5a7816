#include <array>

#include "fighatch/table_update.h"

namespace fighatch {
namespace {

constexpr std::array<std::string_view, 5> kStateNames = {"starting", "serving", "draining", "stopped", "suspect"};

constexpr std::array<std::string_view, 3> kPhaseNames = {"settled", "learning", "moving"};

}  // namespace

std::string_view TargetStateName(TargetState state) noexcept {
  const auto index = static_cast<std::size_t>(state);
  return index < kStateNames.size() ? kStateNames[index] : "unknown";
}

std::string_view TransitionPhaseName(TransitionPhase phase) noexcept {
  const auto index = static_cast<std::size_t>(phase);
  return index < kPhaseNames.size() ? kPhaseNames[index] : "unknown";
}

}  // namespace fighatch
