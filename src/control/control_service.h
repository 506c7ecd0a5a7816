#ifndef FIGHATCH_CONTROL_CONTROL_SERVICE_H_
#define FIGHATCH_CONTROL_CONTROL_SERVICE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fighatch/address.h"
#include "fighatch/announced_target.h"
#include "fighatch/time.h"

namespace fighatch::daemon {

/// The calls of operators and targets to a control host, independent of the protocol that carries them. Implemented by
/// `SteeringControl`; errors of a call are codes of the `Status` or `Result` that it returns.
class ControlService {
 public:
  virtual ~ControlService() = default;

  /// Submits a routing document to the replicated log. Success means that it, or one with a higher version, is in force
  /// and stored durably. Errors: `kTicketMalformed`; after `kTicketNotLeader`, `kTicketNoQuorum` and
  /// `kTicketOutcomeUnknown` the document should be sent again.
  [[nodiscard]] virtual Status SubmitDocument(const std::string& text) = 0;

  /// Returns the routing document in force, or an empty text if there is none yet. Only a leader with a lease answers,
  /// since no other host can tell whether a newer document was accepted. Errors: `kTicketNotLeader`, `kTicketNoQuorum`.
  [[nodiscard]] virtual Result<std::string> ReadDocument() = 0;

  /// Takes a data centre out of service if `evacuated`, or back into service. Errors: those of `SubmitDocument` except
  /// `kTicketMalformed`.
  [[nodiscard]] virtual Status SetDataCentreEvacuated(const std::string& name, bool evacuated) = 0;

  /// Registers a target, or updates its state, from its announcement, which it sent at most `max_age` ago. Success
  /// means that a majority of the control hosts knows the state and that balancers have been notified. Errors:
  /// `kTicketNoQuorum`: the target should try another control host.
  [[nodiscard]] virtual Status Announce(const AnnouncedTarget& record, Duration max_age) = 0;

  /// Deregisters a target at its own request, which it sent at most `max_age` ago. `start_unix_ms` is the start time of
  /// the process that ends, in milliseconds since the Unix epoch; unset means the latest start. Errors: those of
  /// `Announce`; `kAnnouncementOutdated` if no start is given and the request may come from one before the latest.
  [[nodiscard]] virtual Status Withdraw(TargetId id, std::optional<std::uint64_t> start_unix_ms, Duration max_age) = 0;

  /// The HTTP endpoint of the leader, if the leader is known here and is another host.
  [[nodiscard]] virtual std::optional<Endpoint> RemoteLeaderEndpoint() const = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_CONTROL_SERVICE_H_
