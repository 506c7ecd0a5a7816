#include <cstdint>
#include <cstdlib>

#include "fighatch/announcement.h"

// Whatever is parsed is written and parsed back to the same value.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view body(reinterpret_cast<const char*>(data), size);
  const fighatch::Result<fighatch::Announcement> parsed = fighatch::ParseAnnouncement(body);
  if (!fighatch::IsOk(parsed)) return 0;
  const std::string again = fighatch::ToJson(fighatch::ValueOf(parsed));
  // Names that are not UTF-8 are refused by the parser, so the text form is exact.
  if (fighatch::ParseAnnouncement(again) != parsed) std::abort();
  return 0;
}
