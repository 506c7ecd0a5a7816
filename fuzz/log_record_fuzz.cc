#include <cstdint>
#include <string_view>

#include "consensus/log_record.h"

// Decodes arbitrary bytes as a log segment and as a checksummed file. The part of a segment reported as valid must
// decode to the same entries without an error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const fighatch::SegmentContent content = fighatch::DecodeSegment(bytes, 1);
  if (content.m_valid_bytes > size) __builtin_trap();
  const fighatch::SegmentContent again = fighatch::DecodeSegment(bytes.substr(0, content.m_valid_bytes), 1);
  if (again.m_entries != content.m_entries || again.m_tail != fighatch::SegmentTail::kClean) __builtin_trap();
  (void)fighatch::DecodeChecksummedFile(bytes);
  return 0;
}
