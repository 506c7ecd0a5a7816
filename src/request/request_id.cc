#include "fighatch/request_id.h"

#include <sodium.h>

#include <charconv>

#include "fighatch/hash.h"

namespace fighatch {
namespace {

constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxTextBytes = 128;

std::string FormatFields(const RequestId& id) {
  return "v1." + std::to_string(id.m_issuer.m_value) + "." + std::to_string(id.m_incarnation.m_value) + "." +
         std::to_string(id.m_issued_ms) + "." + std::to_string(id.m_counter) + ".";
}

std::string MacOf(std::string_view fields, const RequestIdKey& key) {
  std::array<unsigned char, kMacBytes> mac{};
  crypto_generichash(mac.data(), mac.size(), reinterpret_cast<const unsigned char*>(fields.data()), fields.size(),
                     key.data(), key.size());
  std::array<char, kMacBytes * 2 + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), mac.data(), mac.size());
  return {hex.data(), kMacBytes * 2};
}

std::string FormatWith(const RequestId& id, const RequestIdKey& key) {
  std::string text = FormatFields(id);
  return text.append(MacOf(text, key));
}

bool EqualInConstantTime(std::string_view left, std::string_view right) noexcept {
  return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

/// Parses a number and the dot after it, and removes both from the text.
template <typename Number>
bool ParseNumberField(std::string_view* text, Number* out) noexcept {
  const char* end = text->data() + text->size();
  const auto [next, error] = std::from_chars(text->data(), end, *out);
  if (error != std::errc() || next == end || *next != '.') return false;
  text->remove_prefix(static_cast<std::size_t>(next - text->data()) + 1);
  return true;
}

}  // namespace

TimePoint ValidUntil(const RequestId& id) noexcept {
  return TimePoint(std::chrono::milliseconds(static_cast<std::int64_t>(id.m_issued_ms))) + kRequestIdValidity;
}

RequestIdCodec::RequestIdCodec(const RequestIdKey& key, std::optional<RequestIdKey> previous) noexcept
    : m_key(key), m_previous(previous) {}

std::string RequestIdCodec::Format(const RequestId& id) const { return FormatWith(id, m_key); }

Result<RequestId> RequestIdCodec::Parse(std::string_view text) const {
  if (text.size() > kMaxTextBytes || !text.starts_with("v1.")) return MakeError(ErrorCode::kRequestIdInvalid);
  RequestId id;
  std::string_view rest = text.substr(3);
  const bool parsed = ParseNumberField(&rest, &id.m_issuer.m_value) &&
                      ParseNumberField(&rest, &id.m_incarnation.m_value) && ParseNumberField(&rest, &id.m_issued_ms) &&
                      ParseNumberField(&rest, &id.m_counter);
  if (!parsed) return MakeError(ErrorCode::kRequestIdInvalid);
  if (EqualInConstantTime(text, FormatWith(id, m_key))) return id;
  if (m_previous && EqualInConstantTime(text, FormatWith(id, *m_previous))) return id;
  return MakeError(ErrorCode::kRequestIdInvalid);
}

RequestIdIssuer::RequestIdIssuer(HostId host, Incarnation incarnation, std::uint32_t shard,
                                 std::uint32_t shard_count) noexcept
    : m_host(host), m_incarnation(incarnation), m_next_counter(shard), m_shard_count(shard_count) {}

RequestId RequestIdIssuer::Issue(TimePoint now) noexcept {
  const auto issued = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  const RequestId id{m_host, m_incarnation, static_cast<std::uint64_t>(issued), m_next_counter};
  m_next_counter += m_shard_count;
  return id;
}

}  // namespace fighatch

std::size_t std::hash<fighatch::RequestId>::operator()(const fighatch::RequestId& id) const noexcept {
  return fighatch::MixHash(fighatch::MixHash(id.m_issuer.m_value, id.m_incarnation.m_value), id.m_counter);
}
