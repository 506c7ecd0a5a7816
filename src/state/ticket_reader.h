#ifndef FIGHATCH_STATE_TICKET_READER_H_
#define FIGHATCH_STATE_TICKET_READER_H_

#include <string_view>

#include "config/json_reader.h"
#include "fighatch/state_document.h"
#include "fighatch/ticket.h"

namespace fighatch {

/// Reads the fields of a service in a ticket.
void ReadService(config::ObjectReader& reader, Service* out);
/// Reads the fields of a data centre in a ticket.
void ReadDataCentre(config::ObjectReader& reader, DataCentre* out);

/// Parses the JSON form of a ticket. Errors: `kTicketTooLarge`, and those of `config::ParseJson` and
/// `config::ObjectReader`.
[[nodiscard]] Result<Ticket> ReadTicket(std::string_view text);

}  // namespace fighatch

#endif  // FIGHATCH_STATE_TICKET_READER_H_
