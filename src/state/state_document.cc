#include "fighatch/state_document.h"

#include "fighatch/hash.h"
#include "wire/codec.h"

namespace fighatch {

std::string_view ServiceModeName(ServiceMode mode) noexcept { return mode == ServiceMode::kFlow ? "flow" : "request"; }

std::string_view DataCentreStateName(DataCentreState state) noexcept {
  return state == DataCentreState::kIn ? "in" : "out";
}

std::vector<std::byte> EncodeState(const StateDocument& state) { return wire::Encode(state); }

Result<StateDocument> DecodeState(std::span<const std::byte> bytes) { return wire::Decode<StateDocument>(bytes); }

std::uint64_t StateDigest(const StateDocument& state) { return HashBytes(EncodeState(state)); }

}  // namespace fighatch
