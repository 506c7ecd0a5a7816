#include "config/key_settings.h"

namespace fighatch::config {
namespace {

constexpr std::uint32_t kMaxKeyId = 0xFFFF;

}  // namespace

void ReadKeyFiles(ObjectReader& reader, std::string_view field, KeyKind kind, std::vector<KeyFile>* out) {
  bool is_first = true;
  reader.OptionalObjects(field, [&](ObjectReader& item) {
    KeyFile& key = out->emplace_back();
    key.m_kind = kind;
    key.m_active = is_first;
    is_first = false;
    item.Unsigned("id", 0, kMaxKeyId, &key.m_id);
    item.Text("file", &key.m_path);
  });
  if (is_first) reader.Fail(ErrorCode::kSettingsMissingField, field, "at least one key is required");
}

}  // namespace fighatch::config
