#include "fighatch/member.h"

#include <array>

namespace fighatch {
namespace {

constexpr std::array<std::string_view, 2> kRoleNames = {"balancer", "control"};
constexpr std::array<std::string_view, 4> kStateNames = {"alive", "suspect", "dead", "left"};

}  // namespace

std::string_view MemberRoleName(MemberRole role) noexcept {
  const auto index = static_cast<std::size_t>(role);
  return index < kRoleNames.size() ? kRoleNames[index] : "unknown";
}

std::string_view MemberStateName(MemberState state) noexcept {
  const auto index = static_cast<std::size_t>(state);
  return index < kStateNames.size() ? kStateNames[index] : "unknown";
}

}  // namespace fighatch
