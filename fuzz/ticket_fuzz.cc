#include <cstdint>
#include <string_view>

#include "fighatch/ticket.h"
#include "fighatch/ticket_check.h"
#include "fighatch/ticket_processor.h"

// Parses arbitrary text as a ticket and applies it. A second try must give the same answer, and a processor that is
// restored from a snapshot must have the same state. The check must find errors exactly if the ticket is refused, and
// its warnings must come to an end for any ticket.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fighatch::Result<fighatch::Ticket> ticket =
      fighatch::ParseTicket(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!fighatch::IsOk(ticket)) return 0;
  const fighatch::StateDocument empty;
  const fighatch::TicketCheckInput input{&empty, nullptr, nullptr, {}, {}};
  const fighatch::TicketCheck check(fighatch::ValueOf(ticket), input);
  const bool has_errors = !check.FindErrors().empty();
  static_cast<void>(check.FindWarnings());
  fighatch::TicketProcessor processor;
  const fighatch::TicketAnswer first = processor.Apply(fighatch::ValueOf(ticket), {1, 1});
  if ((first.m_code == fighatch::ErrorCode::kOk) == has_errors) __builtin_trap();
  const fighatch::TicketAnswer second = processor.Apply(fighatch::ValueOf(ticket), {1, 2});
  if (first != second) __builtin_trap();
  fighatch::TicketProcessor restored;
  if (!fighatch::IsOk(restored.Restore(processor.EncodeSnapshot()))) __builtin_trap();
  if (restored.State() != processor.State()) __builtin_trap();
  return 0;
}
