#include <cstdint>
#include <cstdlib>

#include "fighatch/announcement.h"

// An announcement that was parsed, serialised and parsed again must have the same value.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view body(reinterpret_cast<const char*>(data), size);
  const fighatch::Result<fighatch::Announcement> parsed = fighatch::ParseAnnouncement(body);
  if (!fighatch::IsOk(parsed)) return 0;
  const std::string again = fighatch::ToJson(fighatch::ValueOf(parsed));
  // The parser refuses names that are not UTF-8, so serialisation does not replace any character.
  if (fighatch::ParseAnnouncement(again) != parsed) std::abort();
  return 0;
}
