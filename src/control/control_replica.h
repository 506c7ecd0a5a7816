#ifndef FIGHATCH_CONTROL_CONTROL_REPLICA_H_
#define FIGHATCH_CONTROL_CONTROL_REPLICA_H_

#include <any>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <string>

#include "config/control_settings.h"
#include "control/log_replica.h"
#include "control/replicated_state_machine.h"
#include "control/ticket_backend.h"

namespace fighatch::daemon {

/// Applies the entries of the replicated log as tickets to a `TicketProcessor`. `Apply` returns a `TicketAnswer`.
class TicketStateMachine : public ReplicatedStateMachine {
 public:
  std::any Apply(const LogEntry& entry) override;
  [[nodiscard]] std::string EncodeSnapshot() const override;
  [[nodiscard]] Status Restore(std::span<const std::byte> bytes) override { return m_processor.Restore(bytes); }

  [[nodiscard]] const TicketProcessor& Processor() const noexcept { return m_processor; }

 private:
  TicketProcessor m_processor;
};

/// The replicated ticket log of one control host: submits tickets to a `LogReplica` and wakes fibers that wait for a
/// newer state. Errors are reported as the code of the `TicketAnswer`.
class ControlReplica : public TicketBackend {
 public:
  ControlReplica(const config::ControlSettings& settings, LogStorage* storage, StoredLog stored,
                 MessageTransport* transport);

  /// Starts the log. From then on, fibers in `WaitForNewer` are woken when the version of the state has changed.
  void Start();

  /// Transfers leadership to another host and waits until that has happened or `deadline` has passed.
  void AnnounceStop(io::Deadline deadline) { m_log.AnnounceStop(deadline); }

  /// Stops the fiber that runs the log, and the transport.
  void Stop() { m_log.Stop(); }

  [[nodiscard]] TicketAnswer Submit(const Ticket& ticket) override;
  [[nodiscard]] const TicketProcessor& Processor() const override { return m_state_machine.Processor(); }
  void WaitForNewer(Version version, io::Deadline deadline) override;
  [[nodiscard]] ReplicaStatus GetStatus() const override;
  [[nodiscard]] bool CanServeLinearizableReads() const override { return m_log.ConfirmsReads(); }

 private:
  TicketStateMachine m_state_machine;
  LogReplica m_log;
  Version m_notified_version;
  boost::fibers::mutex m_mutex;
  // Notified only when the version of the state has changed, since many fibers wait on it (one per long poll).
  boost::fibers::condition_variable m_state_changed;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_CONTROL_REPLICA_H_
