#ifndef FIGHATCH_CONFIG_JSON_READER_H_
#define FIGHATCH_CONFIG_JSON_READER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/result.h"

namespace fighatch::config {

/// Parses JSON with comments. Errors: `kSettingsSyntax`; `kSettingsDuplicateKey`, with the path of the key as detail.
[[nodiscard]] Result<nlohmann::json> ParseJson(std::string_view text);

/// Reads the fields of one JSON object of a settings file into an aggregate and keeps the first error. `Finish` reports
/// every field that was not read as unknown, so a program must read all fields that it accepts.
///
/// \code
/// ObjectReader reader(json, "");
/// reader.Unsigned("port", 1, 65535, &settings.m_port);
/// reader.Text("name", &settings.m_name);
/// Status status = reader.Finish();
/// \endcode
///
/// If the field is absent, an `Optional` function leaves the value unchanged and the others report
/// `kSettingsMissingField`. A field of the wrong type gives `kSettingsWrongType`, a number outside its bounds (both
/// inclusive) `kSettingsOutOfRange`. The detail of an error starts with the path of the field, for example
/// `services[2].addresses[0]`.
class ObjectReader {
 public:
  ObjectReader(const nlohmann::json& object, std::string path);

  void Text(std::string_view field, std::string* out);
  void OptionalText(std::string_view field, std::string* out);
  void OptionalBool(std::string_view field, bool* out);
  void OptionalTextList(std::string_view field, std::vector<std::string>* out);
  void OptionalNumber(std::string_view field, double lowest, double highest, double* out);
  /// Reads a whole number of milliseconds between the bounds.
  void OptionalMilliseconds(std::string_view field, std::chrono::milliseconds lowest, std::chrono::milliseconds highest,
                            std::chrono::milliseconds* out);
  void EndpointField(std::string_view field, Endpoint* out);
  void OptionalEndpoint(std::string_view field, Endpoint* out);
  void OptionalEndpointList(std::string_view field, std::vector<Endpoint>* out);

  template <typename T>
  void Unsigned(std::string_view field, std::uint64_t lowest, std::uint64_t highest, T* out) {
    if (const nlohmann::json* value = LookUpField(field, true))
      *out = static_cast<T>(ReadUnsigned(*value, field, lowest, highest));
  }
  template <typename T>
  void OptionalUnsigned(std::string_view field, std::uint64_t lowest, std::uint64_t highest, T* out) {
    if (const nlohmann::json* value = LookUpField(field, false))
      *out = static_cast<T>(ReadUnsigned(*value, field, lowest, highest));
  }

  /// Calls `read` with a reader for each object of the array in the field; an absent field counts as an empty array.
  void OptionalObjects(std::string_view field, const std::function<void(ObjectReader&)>& read);
  /// Calls `read` with a reader for the object in the field; not called if the field is absent.
  void OptionalObject(std::string_view field, const std::function<void(ObjectReader&)>& read);

  /// Records an error at a field; only the first error is kept.
  void Fail(ErrorCode code, std::string_view field, std::string_view reason);

  /// The first error, or `kSettingsUnknownField` for a field that was not read.
  [[nodiscard]] Status Finish();

  /// The path of a field of this object.
  [[nodiscard]] std::string PathOf(std::string_view field) const;

 private:
  // Marks the field as read; null if it is absent, which is an error if it is required.
  [[nodiscard]] const nlohmann::json* LookUpField(std::string_view field, bool required);
  [[nodiscard]] std::uint64_t ReadUnsigned(const nlohmann::json& value, std::string_view field, std::uint64_t lowest,
                                           std::uint64_t highest);
  void ReadText(const nlohmann::json& value, std::string_view field, std::string* out);
  void ReadEndpoint(const nlohmann::json& value, std::string_view field, Endpoint* out);
  // Calls `Finish` on the reader of a nested object and keeps its error unless there is an earlier one.
  void FinishChild(ObjectReader& child);

  const nlohmann::json& m_object;
  std::string m_path;
  std::set<std::string, std::less<>> m_read_fields;
  Status m_status = OkStatus();
};

/// Reads a whole file. Errors: `kSettingsUnreadable` if it cannot be opened, with its path as detail.
[[nodiscard]] Result<std::string> ReadTextFile(const std::string& path);

}  // namespace fighatch::config

#endif  // FIGHATCH_CONFIG_JSON_READER_H_
