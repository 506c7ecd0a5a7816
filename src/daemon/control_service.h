#ifndef FIGHATCH_DAEMON_CONTROL_SERVICE_H_
#define FIGHATCH_DAEMON_CONTROL_SERVICE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fighatch/address.h"
#include "fighatch/announced_target.h"

namespace fighatch::daemon {

/// What operators and targets ask a control host for, whatever protocol they speak.
class ControlService {
 public:
  virtual ~ControlService() = default;

  /// Has a document accepted. Success means that it, or one with a higher version, is in force and durable. Errors:
  /// `kTicketMalformed`; `kTicketNotLeader`, `kTicketNoQuorum`, `kTicketOutcomeUnknown`: send it again.
  [[nodiscard]] virtual Status SubmitDocument(const std::string& text) = 0;

  /// The document in force, if this host is sure that it is the newest; empty text if there is none yet. Errors:
  /// `kTicketNotLeader`, `kTicketNoQuorum`.
  [[nodiscard]] virtual Result<std::string> ReadDocument() = 0;

  /// Takes a data centre out or back in. Errors: those of `SubmitDocument` but the first.
  [[nodiscard]] virtual Status SetDataCentreEvacuated(const std::string& name, bool evacuated) = 0;

  /// Takes an announcement. Success means that a majority of the control hosts knows the target's state and that
  /// balancers have been told. Errors: `kTicketNoQuorum`: the target should turn to another host.
  [[nodiscard]] virtual Status Announce(const AnnouncedTarget& record) = 0;

  /// Takes the word of a target that it ends; an unset start means the latest one. Errors: those of `Announce`.
  [[nodiscard]] virtual Status Withdraw(TargetId id, std::optional<std::uint64_t> start_unix_ms) = 0;

  /// Where the leader serves HTTP, if it is another host and known here.
  [[nodiscard]] virtual std::optional<Endpoint> RemoteLeaderEndpoint() const = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_CONTROL_SERVICE_H_
