#include "config/json_reader.h"

#include <fstream>
#include <sstream>

namespace fighatch::config {
namespace {

using nlohmann::json;

// Parser callback that records the path of the first key that appears twice in one object; nlohmann-json itself
// silently keeps the last value.
class DuplicateKeyFinder {
 public:
  bool operator()(int /*depth*/, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) m_levels.emplace_back();
    if (event == json::parse_event_t::object_end && !m_levels.empty()) m_levels.pop_back();
    if (event == json::parse_event_t::key && !m_levels.empty()) AddKey(parsed.get<std::string>());
    return true;
  }

  [[nodiscard]] const std::string& Duplicate() const { return m_duplicate; }

 private:
  void AddKey(const std::string& key) {
    m_levels.back().m_last_key = key;
    if (m_levels.back().m_keys.insert(key).second || !m_duplicate.empty()) return;
    for (const Level& level : m_levels) {
      if (!m_duplicate.empty()) m_duplicate += ".";
      m_duplicate += level.m_last_key;
    }
  }

  // An object that the parser has entered but not left: its keys so far, and the last of them.
  struct Level {
    std::set<std::string> m_keys;
    std::string m_last_key;
  };
  std::vector<Level> m_levels;
  std::string m_duplicate;
};

}  // namespace

Result<json> ParseJson(std::string_view text) {
  DuplicateKeyFinder finder;
  try {
    json parsed = json::parse(
        text, [&finder](int depth, json::parse_event_t event, json& value) { return finder(depth, event, value); },
        true, true);
    if (!finder.Duplicate().empty()) return MakeError(ErrorCode::kSettingsDuplicateKey, finder.Duplicate());
    return parsed;
  } catch (const json::exception& error) {
    return MakeError(ErrorCode::kSettingsSyntax, error.what());
  }
}

ObjectReader::ObjectReader(const json& object, std::string path) : m_object(object), m_path(std::move(path)) {
  if (!object.is_object()) {
    m_status = MakeError(ErrorCode::kSettingsWrongType, (m_path.empty() ? "document" : m_path) + ": not an object");
  }
}

std::string ObjectReader::PathOf(std::string_view field) const {
  return m_path.empty() ? std::string(field) : m_path + "." + std::string(field);
}

void ObjectReader::Fail(ErrorCode code, std::string_view field, std::string_view reason) {
  if (!IsOk(m_status)) return;
  m_status = MakeError(code, PathOf(field) + ": " + std::string(reason));
}

const json* ObjectReader::LookUpField(std::string_view field, bool required) {
  m_read_fields.insert(std::string(field));
  if (!m_object.is_object()) return nullptr;
  const auto found = m_object.find(std::string(field));
  if (found != m_object.end()) return &*found;
  if (required) Fail(ErrorCode::kSettingsMissingField, field, "required");
  return nullptr;
}

void ObjectReader::ReadText(const json& value, std::string_view field, std::string* out) {
  if (!value.is_string()) return Fail(ErrorCode::kSettingsWrongType, field, "not a string");
  *out = value.get<std::string>();
}

void ObjectReader::Text(std::string_view field, std::string* out) {
  if (const json* value = LookUpField(field, true)) ReadText(*value, field, out);
}

void ObjectReader::OptionalText(std::string_view field, std::string* out) {
  if (const json* value = LookUpField(field, false)) ReadText(*value, field, out);
}

void ObjectReader::OptionalBool(std::string_view field, bool* out) {
  const json* value = LookUpField(field, false);
  if (value == nullptr) return;
  if (!value->is_boolean()) return Fail(ErrorCode::kSettingsWrongType, field, "not a boolean");
  *out = value->get<bool>();
}

void ObjectReader::OptionalTextList(std::string_view field, std::vector<std::string>* out) {
  const json* value = LookUpField(field, false);
  if (value == nullptr) return;
  if (!value->is_array()) return Fail(ErrorCode::kSettingsWrongType, field, "not an array");
  out->clear();
  for (std::size_t index = 0; index < value->size(); ++index) {
    std::string text;
    ReadText((*value)[index], std::string(field) + "[" + std::to_string(index) + "]", &text);
    out->push_back(std::move(text));
  }
}

void ObjectReader::OptionalNumber(std::string_view field, double lowest, double highest, double* out) {
  const json* value = LookUpField(field, false);
  if (value == nullptr) return;
  if (!value->is_number()) return Fail(ErrorCode::kSettingsWrongType, field, "not a number");
  const double number = value->get<double>();
  if (!(number >= lowest && number <= highest)) return Fail(ErrorCode::kSettingsOutOfRange, field, value->dump());
  *out = number;
}

void ObjectReader::OptionalMilliseconds(std::string_view field, std::chrono::milliseconds lowest,
                                        std::chrono::milliseconds highest, std::chrono::milliseconds* out) {
  auto count = static_cast<std::uint64_t>(out->count());
  OptionalUnsigned(field, static_cast<std::uint64_t>(lowest.count()), static_cast<std::uint64_t>(highest.count()),
                   &count);
  *out = std::chrono::milliseconds(count);
}

std::uint64_t ObjectReader::ReadUnsigned(const json& value, std::string_view field, std::uint64_t lowest,
                                         std::uint64_t highest) {
  if (!value.is_number_integer()) {
    Fail(ErrorCode::kSettingsWrongType, field, "not an integer");
    return lowest;
  }
  const bool in_range =
      value.is_number_unsigned() && value.get<std::uint64_t>() >= lowest && value.get<std::uint64_t>() <= highest;
  if (in_range) return value.get<std::uint64_t>();
  Fail(ErrorCode::kSettingsOutOfRange, field,
       value.dump() + " is not between " + std::to_string(lowest) + " and " + std::to_string(highest));
  return lowest;
}

void ObjectReader::ReadEndpoint(const json& value, std::string_view field, Endpoint* out) {
  std::string text;
  ReadText(value, field, &text);
  if (!IsOk(m_status)) return;
  const Result<Endpoint> parsed = ParseEndpoint(text);
  if (!IsOk(parsed)) return Fail(ErrorOf(parsed).m_code, field, ErrorOf(parsed).m_detail);
  *out = ValueOf(parsed);
}

void ObjectReader::EndpointField(std::string_view field, Endpoint* out) {
  if (const json* value = LookUpField(field, true)) ReadEndpoint(*value, field, out);
}

void ObjectReader::OptionalEndpoint(std::string_view field, Endpoint* out) {
  if (const json* value = LookUpField(field, false)) ReadEndpoint(*value, field, out);
}

void ObjectReader::OptionalEndpointList(std::string_view field, std::vector<Endpoint>* out) {
  const json* value = LookUpField(field, false);
  if (value == nullptr) return;
  if (!value->is_array()) return Fail(ErrorCode::kSettingsWrongType, field, "not an array");
  out->clear();
  for (std::size_t index = 0; index < value->size(); ++index) {
    Endpoint endpoint;
    ReadEndpoint((*value)[index], std::string(field) + "[" + std::to_string(index) + "]", &endpoint);
    out->push_back(endpoint);
  }
}

void ObjectReader::FinishChild(ObjectReader& child) {
  Status status = child.Finish();
  if (IsOk(m_status) && !IsOk(status)) m_status = status;
}

void ObjectReader::OptionalObjects(std::string_view field, const std::function<void(ObjectReader&)>& read) {
  const json* value = LookUpField(field, false);
  if (value == nullptr) return;
  if (!value->is_array()) return Fail(ErrorCode::kSettingsWrongType, field, "not an array");
  for (std::size_t index = 0; index < value->size(); ++index) {
    ObjectReader child((*value)[index], PathOf(field) + "[" + std::to_string(index) + "]");
    read(child);
    FinishChild(child);
  }
}

void ObjectReader::OptionalObject(std::string_view field, const std::function<void(ObjectReader&)>& read) {
  const json* value = LookUpField(field, false);
  if (value == nullptr) return;
  ObjectReader child(*value, PathOf(field));
  read(child);
  FinishChild(child);
}

Status ObjectReader::Finish() {
  if (!IsOk(m_status)) return m_status;
  for (const auto& [field, value] : m_object.items()) {
    if (!m_read_fields.contains(field)) Fail(ErrorCode::kSettingsUnknownField, field, "unknown field");
  }
  return m_status;
}

Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return MakeError(ErrorCode::kSettingsUnreadable, path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace fighatch::config
