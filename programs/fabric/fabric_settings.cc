#include "fabric_settings.h"

#include "config/json_reader.h"

namespace fighatch::fabric {
namespace {

void ReadRoute(config::ObjectReader& reader, CallerRoute* out) {
  std::string prefix;
  reader.Text("prefix", &prefix);
  reader.EndpointField("endpoint", &out->m_endpoint);
  const Result<Cidr> parsed = ParseCidr(prefix);
  if (!IsOk(parsed)) return reader.Fail(ErrorCode::kSettingsWrongType, "prefix", ErrorOf(parsed).m_detail);
  out->m_prefix = ValueOf(parsed);
}

}  // namespace

Result<FabricSettings> ParseFabricSettings(std::string_view text) {
  const Result<nlohmann::json> json = config::ParseJson(text);
  if (!IsOk(json)) return ErrorOf(json);
  FabricSettings settings;
  config::ObjectReader reader(ValueOf(json), "");
  reader.EndpointField("listen", &settings.m_listen);
  reader.EndpointField("http", &settings.m_http);
  reader.OptionalEndpointList("balancers", &settings.m_balancers);
  reader.OptionalObjects(
      "callers", [&settings](config::ObjectReader& item) { ReadRoute(item, &settings.m_callers.emplace_back()); });
  reader.OptionalUnsigned("seed", 0, UINT64_MAX, &settings.m_seed);
  reader.OptionalNumber("loss", 0, 1, &settings.m_loss);
  reader.OptionalNumber("duplication", 0, 1, &settings.m_duplication);
  const Status status = reader.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  return settings;
}

}  // namespace fighatch::fabric
