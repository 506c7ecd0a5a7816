// Decodes arbitrary bytes as a hot file. A file that is accepted must encode to the same bytes.

#include <algorithm>
#include <cstdint>
#include <cstdlib>

#include "fighatch/hot_file.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto bytes = std::as_bytes(std::span(data, size));
  const auto file = fighatch::DecodeHotFile(bytes);
  if (!fighatch::IsOk(file)) return 0;
  const auto again = fighatch::EncodeHotFile(fighatch::ValueOf(file));
  if (!std::equal(again.begin(), again.end(), bytes.begin(), bytes.end())) std::abort();
  return 0;
}
