#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fighatch/request_id.h"

// A text that parses must be the canonical text form of its id.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {  // NOLINT: name fixed by libFuzzer.
  fighatch::RequestIdKey key;
  key.fill(9);
  const fighatch::RequestIdCodec codec(key);
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto id = codec.Parse(text);
  if (fighatch::IsOk(id) && codec.Format(fighatch::ValueOf(id)) != text) std::abort();
  return 0;
}
