#include "fighatch/error.h"

#include <algorithm>
#include <array>

namespace fighatch {
namespace {

constexpr auto kTable = std::to_array<ErrorCodeName>({
    {ErrorCode::kOk, "ok", "success"},
    {ErrorCode::kPacketTruncated, "packet_truncated", "a packet ends before its headers or stated length"},
    {ErrorCode::kPacketOversized, "packet_oversized", "a packet is larger than the limit"},
    {ErrorCode::kPacketUnknownVersion, "packet_unknown_version",
     "an encapsulation or IP version that is not supported"},
    {ErrorCode::kPacketLoop, "packet_loop", "a packet passed more balancers than the hop limit"},
    {ErrorCode::kPacketFragmented, "packet_fragmented", "an IP fragment, which carries no ports"},
    {ErrorCode::kPacketSpoofed, "packet_spoofed", "a source or destination address that cannot be valid here"},
    {ErrorCode::kPacketUnknownProtocol, "packet_unknown_protocol", "neither TCP nor UDP"},
    {ErrorCode::kPacketUnknownService, "packet_unknown_service", "no service has this address, protocol and port"},
    {ErrorCode::kPacketNoTarget, "packet_no_target", "the service has no target that may take the packet"},
    {ErrorCode::kPacketBadChecksum, "packet_bad_checksum", "a header checksum is wrong"},
    {ErrorCode::kPacketWrongService, "packet_wrong_service", "the table entry names a target of another service"},
    {ErrorCode::kPacketNoRecordSpace, "packet_no_record_space",
     "the table of flow records is full; no new flow opens in a changing slot"},
    {ErrorCode::kPacketTargetEnded, "packet_target_ended", "the target of the flow has ended; the client got a reset"},
    {ErrorCode::kSettingsSyntax, "settings_syntax", "the settings are not valid JSON with comments"},
    {ErrorCode::kSettingsUnknownField, "settings_unknown_field", "a field that the program does not know"},
    {ErrorCode::kSettingsWrongType, "settings_wrong_type", "a field has the wrong type"},
    {ErrorCode::kSettingsOutOfRange, "settings_out_of_range", "a value is outside its range"},
    {ErrorCode::kSettingsDuplicateKey, "settings_duplicate_key", "a key appears twice in one object"},
    {ErrorCode::kSettingsMissingField, "settings_missing_field", "a required field is absent"},
    {ErrorCode::kSettingsUnreadable, "settings_unreadable", "the settings file cannot be read"},
    {ErrorCode::kTicketMalformed, "ticket_malformed", "the ticket is not valid; the detail names the field"},
    {ErrorCode::kTicketNumberConflict, "ticket_number_conflict", "another ticket has this number; the detail names it"},
    {ErrorCode::kTicketNumberTooLow, "ticket_number_too_low", "a higher ticket number is in force for the same object"},
    {ErrorCode::kTicketUnknownDataCentre, "ticket_unknown_data_centre",
     "a service names a data centre that does not exist"},
    {ErrorCode::kTicketAddressConflict, "ticket_address_conflict", "two services claim one address"},
    {ErrorCode::kTicketAllDataCentresOut, "ticket_all_data_centres_out",
     "the ticket would leave a service without a data centre"},
    {ErrorCode::kTicketBadSignature, "ticket_bad_signature", "the signature of the ticket does not match"},
    {ErrorCode::kTicketTooLarge, "ticket_too_large", "the ticket is larger than the limit"},
    {ErrorCode::kTicketNotLeader, "ticket_not_leader", "this control host is not the leader"},
    {ErrorCode::kTicketNoQuorum, "ticket_no_quorum",
     "no majority of control hosts confirmed the ticket; it was not accepted"},
    {ErrorCode::kTicketOutcomeUnknown, "ticket_outcome_unknown",
     "the ticket was not confirmed in time; resend it to learn the outcome"},
    {ErrorCode::kTicketAddressUnmatchable, "ticket_address_unmatchable",
     "no packet can match the address of a service"},
    {ErrorCode::kTicketPrefixHidden, "ticket_prefix_hidden", "another admission rule of the service covers the prefix"},
    {ErrorCode::kTicketServiceHidden, "ticket_service_hidden",
     "no packet reaches the service: it has no address, or others have all of them"},
    {ErrorCode::kTicketPathUnmatchable, "ticket_path_unmatchable", "no request can match the idempotent path"},
    {ErrorCode::kTicketRemovalWithoutEffect, "ticket_removal_without_effect",
     "the removed service does not exist, or is removed twice"},
    {ErrorCode::kTicketWeightRepeated, "ticket_weight_repeated", "a service has two weights for one data centre"},
    {ErrorCode::kTicketWeightWithoutTargets, "ticket_weight_without_targets",
     "no admission rule lets targets announce themselves where the service sends flows"},
    {ErrorCode::kTicketAdmissionWithoutWeight, "ticket_admission_without_weight",
     "targets may announce themselves in a data centre that has no weight"},
    {ErrorCode::kTicketShareBelowSlot, "ticket_share_below_slot",
     "the share of a data centre is smaller than one hash slot"},
    {ErrorCode::kMessageTruncated, "message_truncated", "a message ends early"},
    {ErrorCode::kMessageOversized, "message_oversized", "a message is larger than the limit"},
    {ErrorCode::kMessageUnknownVersion, "message_unknown_version", "a message version that is not supported"},
    {ErrorCode::kMessageUnknownType, "message_unknown_type", "a message type that is not known"},
    {ErrorCode::kMessageUnknownKey, "message_unknown_key", "the key id is not in the key ring"},
    {ErrorCode::kMessageForged, "message_forged", "the authentication tag does not match"},
    {ErrorCode::kMessageReplayed, "message_replayed", "the sequence number was seen before or is too old"},
    {ErrorCode::kMessageMalformed, "message_malformed", "the payload does not decode"},
    {ErrorCode::kKeyUnreadable, "key_unreadable", "a key file cannot be read or has the wrong size"},
    {ErrorCode::kRequestOverloaded, "request_overloaded", "not run: it could not start before its deadline"},
    {ErrorCode::kRequestDeadlineExpired, "request_deadline_expired", "not run: the deadline passed before dispatch"},
    {ErrorCode::kRequestOutcomeUnknown, "request_outcome_unknown", "the outcome is unknown: it may have run"},
    {ErrorCode::kRequestIdMissing, "request_id_missing", "not run: a non-idempotent request needs a request id"},
    {ErrorCode::kRequestIdInvalid, "request_id_invalid", "not run: the request id was not issued here"},
    {ErrorCode::kRequestMalformed, "request_malformed", "not run: the request does not parse"},
    {ErrorCode::kRequestTooLarge, "request_too_large", "not run: the request exceeds the limit"},
    {ErrorCode::kRequestAnswerTooLarge, "request_answer_too_large", "answered, but the answer exceeds a datagram"},
    {ErrorCode::kRequestNoTarget, "request_no_target", "not run: no target may take it"},
    {ErrorCode::kRequestCancelled, "request_cancelled", "the caller cancelled the request"},
    {ErrorCode::kRequestShed, "request_shed", "not run: all tried targets shed it"},
    {ErrorCode::kStorageIo, "storage_io", "reading or writing a file failed"},
    {ErrorCode::kStorageTornTail, "storage_torn_tail", "the last record was incomplete and was cut"},
    {ErrorCode::kStorageCorrupt, "storage_corrupt", "a record in the middle of the log has a wrong checksum"},
    {ErrorCode::kStorageSyncFailed, "storage_sync_failed", "a sync failed; the process stops"},
    {ErrorCode::kStorageWrongIdentity, "storage_wrong_identity", "the data folder belongs to another host"},
    {ErrorCode::kConsensusNotMember, "consensus_not_member", "the host is not a voting member"},
    {ErrorCode::kStorageUnreadable, "storage_unreadable",
     "the checksum is right, but this program cannot read the content; another release wrote it"},
    {ErrorCode::kStorageEntryTooLarge, "storage_entry_too_large", "a log entry is larger than the limit; not written"},
    {ErrorCode::kStorageFull, "storage_full", "the disk has no room; the write was undone and may be repeated"},
    {ErrorCode::kAnnouncementMalformed, "announcement_malformed",
     "the announcement does not parse; the detail names the field"},
    {ErrorCode::kAnnouncementForged, "announcement_forged", "the signature of the announcement does not match"},
    {ErrorCode::kAnnouncementReplayed, "announcement_replayed", "the incarnation or sequence is not newer"},
    {ErrorCode::kAnnouncementNotAdmitted, "announcement_not_admitted",
     "no admission rule allows this address for the service"},
    {ErrorCode::kAnnouncementWrongDataCentre, "announcement_wrong_data_centre", "the target names another data centre"},
    {ErrorCode::kAnnouncementOversized, "announcement_oversized", "the announcement is larger than the limit"},
    {ErrorCode::kAnnouncementOutdated, "announcement_outdated",
     "the deregistration may come from an earlier start of the target; nothing changed"},
    {ErrorCode::kIoSocket, "io_socket", "a socket call failed"},
    {ErrorCode::kIoTimeout, "io_timeout", "the operation timed out"},
    {ErrorCode::kIoClosed, "io_closed", "the peer closed the connection"},
    {ErrorCode::kIoRefused, "io_refused", "the peer refused the connection"},
});

}  // namespace

std::span<const ErrorCodeName> ErrorCodeTable() noexcept { return kTable; }

std::string_view ErrorName(ErrorCode code) noexcept {
  const auto row = std::lower_bound(kTable.begin(), kTable.end(), code,
                                    [](const ErrorCodeName& entry, ErrorCode wanted) { return entry.m_code < wanted; });
  if (row == kTable.end() || row->m_code != code) return "unknown";
  return row->m_name;
}

std::string ToString(const Error& error) {
  std::string text = "code=" + std::to_string(static_cast<int>(error.m_code));
  text.append(" error=").append(ErrorName(error.m_code));
  if (!error.m_detail.empty()) text.append(" detail=\"").append(error.m_detail).append("\"");
  return text;
}

}  // namespace fighatch
