#include "fighatch/request_engine.h"

#include "request/engine_state.h"
#include "request/limits.h"

namespace fighatch {

RequestEngine::RequestEngine(const RequestEngineSettings& settings, TargetAllowance* allowance,
                             std::unique_ptr<PickStrategy> strategy, Random* random)
    : m_state(std::make_unique<RequestEngineState>(settings, allowance, std::move(strategy), random)) {}

RequestEngine::~RequestEngine() = default;

RequestActions RequestEngine::Handle(TimePoint now, RequestEvent event) {
  return m_state->Handle(now, std::move(event));
}

bool RequestEngine::IsDrained() const noexcept { return m_state->IsDrained(); }
std::size_t RequestEngine::CallsInProgress() const noexcept { return m_state->m_calls.size(); }
std::size_t RequestEngine::ExchangesInProgress() const noexcept { return m_state->m_by_exchange.size(); }
std::size_t RequestEngine::JournalEntries() const noexcept { return m_state->m_journal.size(); }
const RequestStatistics& RequestEngine::Statistics() const noexcept { return m_state->m_statistics; }

Result<HttpRequest> ParseRequestDatagram(std::span<const std::byte> datagram) {
  Result<std::optional<ParsedHttpMessage<HttpRequest>>> parsed = ParseHttpRequest(datagram, kMaxDatagramBytes);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  std::optional<ParsedHttpMessage<HttpRequest>>& message = ValueOf(parsed);
  if (!message) return MakeError(ErrorCode::kRequestMalformed, "the message is not complete");
  if (message->m_consumed_bytes != datagram.size()) {
    return MakeError(ErrorCode::kRequestMalformed, "bytes after the message");
  }
  return std::move(message->m_message);
}

}  // namespace fighatch
