#include <cstdint>
#include <string_view>

#include "fighatch/ticket.h"
#include "fighatch/ticket_processor.h"

// Parses arbitrary text as a ticket and applies it. A second try must give the same answer, and a processor that is
// restored from a snapshot must have the same state.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fighatch::Result<fighatch::Ticket> ticket =
      fighatch::ParseTicket(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!fighatch::IsOk(ticket)) return 0;
  fighatch::TicketProcessor processor;
  const fighatch::TicketAnswer first = processor.Apply(fighatch::ValueOf(ticket), {1, 1});
  const fighatch::TicketAnswer second = processor.Apply(fighatch::ValueOf(ticket), {1, 2});
  if (first != second) __builtin_trap();
  fighatch::TicketProcessor restored;
  if (!fighatch::IsOk(restored.Restore(processor.EncodeSnapshot()))) __builtin_trap();
  if (restored.State() != processor.State()) __builtin_trap();
  return 0;
}
