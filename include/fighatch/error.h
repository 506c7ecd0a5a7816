#ifndef FIGHATCH_ERROR_H_
#define FIGHATCH_ERROR_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace fighatch {

/// Numbered error codes. The number is stable: it appears in logs, metrics, HTTP headers and `docs/errors.md`.
///
/// 1000s packets, 2000s settings, 3000s tickets (from 3101 warnings that do not refuse a ticket), 4000s messages and
/// keys, 5000s requests, 6000s storage and consensus, 7000s announcements, 8000s input and output.
enum class ErrorCode : std::uint16_t {
  kOk = 0,

  kPacketTruncated = 1001,
  kPacketOversized = 1002,
  kPacketUnknownVersion = 1003,
  kPacketLoop = 1004,
  kPacketFragmented = 1005,
  kPacketSpoofed = 1006,
  kPacketUnknownProtocol = 1007,
  kPacketUnknownService = 1008,
  kPacketNoTarget = 1009,
  kPacketBadChecksum = 1010,
  kPacketWrongService = 1011,
  kPacketNoRecordSpace = 1012,
  kPacketTargetEnded = 1013,

  kSettingsSyntax = 2001,
  kSettingsUnknownField = 2002,
  kSettingsWrongType = 2003,
  kSettingsOutOfRange = 2004,
  kSettingsDuplicateKey = 2005,
  kSettingsMissingField = 2006,
  kSettingsUnreadable = 2007,

  kTicketMalformed = 3001,
  kTicketNumberConflict = 3002,
  kTicketNumberTooLow = 3003,
  kTicketUnknownDataCentre = 3004,
  kTicketAddressConflict = 3005,
  kTicketAllDataCentresOut = 3006,
  kTicketBadSignature = 3007,
  kTicketTooLarge = 3008,
  kTicketNotLeader = 3009,
  kTicketNoQuorum = 3010,
  kTicketOutcomeUnknown = 3011,

  kTicketAddressUnmatchable = 3101,
  kTicketPrefixHidden = 3102,
  kTicketServiceHidden = 3103,
  kTicketPathUnmatchable = 3104,
  kTicketRemovalWithoutEffect = 3105,
  kTicketWeightRepeated = 3106,
  kTicketWeightWithoutTargets = 3107,
  kTicketAdmissionWithoutWeight = 3108,
  kTicketShareBelowSlot = 3109,

  kMessageTruncated = 4001,
  kMessageOversized = 4002,
  kMessageUnknownVersion = 4003,
  kMessageUnknownType = 4004,
  kMessageUnknownKey = 4005,
  kMessageForged = 4006,
  kMessageReplayed = 4007,
  kMessageMalformed = 4008,
  kKeyUnreadable = 4009,

  kRequestOverloaded = 5001,
  kRequestDeadlineExpired = 5002,
  kRequestOutcomeUnknown = 5003,
  kRequestIdMissing = 5004,
  kRequestIdInvalid = 5005,
  kRequestMalformed = 5006,
  kRequestTooLarge = 5007,
  kRequestAnswerTooLarge = 5008,
  kRequestNoTarget = 5009,
  kRequestCancelled = 5010,
  kRequestShed = 5011,

  kStorageIo = 6001,
  kStorageTornTail = 6002,
  kStorageCorrupt = 6003,
  kStorageSyncFailed = 6004,
  kStorageWrongIdentity = 6005,
  kConsensusNotMember = 6006,
  kStorageUnreadable = 6007,
  kStorageEntryTooLarge = 6008,
  kStorageFull = 6009,

  kAnnouncementMalformed = 7001,
  kAnnouncementForged = 7002,
  kAnnouncementReplayed = 7003,
  kAnnouncementNotAdmitted = 7004,
  kAnnouncementWrongDataCentre = 7005,
  kAnnouncementOversized = 7006,
  kAnnouncementOutdated = 7007,

  kIoSocket = 8001,
  kIoTimeout = 8002,
  kIoClosed = 8003,
  kIoRefused = 8004,
};

/// One row of the table of error codes.
struct ErrorCodeName {
  ErrorCode m_code;
  std::string_view m_name;
  std::string_view m_meaning;
};

/// The table of all error codes, in ascending order of their numbers.
[[nodiscard]] std::span<const ErrorCodeName> ErrorCodeTable() noexcept;

/// The code's name in snake case, for logs and metric labels; "unknown" for a number outside the table.
[[nodiscard]] std::string_view ErrorName(ErrorCode code) noexcept;

/// A numbered error with a human-readable detail, for example the path of a settings field.
struct Error {
  ErrorCode m_code = ErrorCode::kOk;
  std::string m_detail;

  friend bool operator==(const Error&, const Error&) = default;
};

/// Formats an error as `code=1001 error=packet_truncated detail="..."`.
[[nodiscard]] std::string ToString(const Error& error);

}  // namespace fighatch

#endif  // FIGHATCH_ERROR_H_
