#ifndef FIGHATCH_DAEMON_CONTROL_REPLICA_H_
#define FIGHATCH_DAEMON_CONTROL_REPLICA_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "config/control_settings.h"
#include "daemon/blocking_worker.h"
#include "daemon/message_transport.h"
#include "daemon/ticket_backend.h"
#include "fighatch/log_storage.h"
#include "fighatch/raft_node.h"

namespace fighatch::daemon {

/// Runs a `RaftNode` and the `TicketProcessor` behind it: one fiber owns both, takes all inputs that wait, stores the
/// outcome with one sync on a worker thread, and then sends and applies it. The process ends on a storage error.
class ControlReplica : public TicketBackend {
 public:
  ControlReplica(const config::ControlSettings& settings, LogStorage* storage, StoredLog stored,
                 MessageTransport* transport);
  ~ControlReplica() override;

  void Start();

  /// Hands leadership to another host and waits until that has happened or `deadline` has passed.
  void HandOver(io::Deadline deadline);

  /// Ends the owner fiber and the transport.
  void Stop();

  [[nodiscard]] TicketAnswer Submit(const Ticket& ticket) override;
  [[nodiscard]] const TicketProcessor& Processor() const override { return m_processor; }
  void WaitForNewer(Version version, io::Deadline deadline) override;
  [[nodiscard]] ReplicaStatus GetStatus() const override;
  [[nodiscard]] bool ConfirmsReads() const override;

 private:
  using Input = std::function<void(TimePoint now)>;
  // A ticket whose submitter waits.
  struct Pending {
    std::optional<TicketAnswer> m_answer;
  };
  using ProposalId = std::pair<LogIndex, Term>;

  [[nodiscard]] static TimePoint Now();
  void Add(Input input);
  void ReceiveMessage(const std::vector<std::byte>& bytes);
  void Loop();
  void WaitForInput();
  void Step();
  void PersistOrExit(const std::function<Status()>& call);
  void Restore(const RaftSnapshot& snapshot);
  void Apply(const LogEntry& entry);
  void AnswerPending(const LogEntry& entry, const TicketAnswer& answer);
  void MaybeCompact();
  void LogRole();
  void Propose(const Ticket& ticket, std::string payload, const std::shared_ptr<Pending>& pending, TimePoint now);
  [[nodiscard]] TicketAnswer NotLeaderAnswer(const Ticket& ticket) const;

  const config::ControlSettings& m_settings;
  LogStorage* m_storage;
  MessageTransport* m_transport;
  BlockingWorker m_worker;
  RaftNode m_node;
  TicketProcessor m_processor;
  LogIndex m_applied = 0;
  LogIndex m_snapshot_index = 0;
  std::size_t m_bytes_since_snapshot = 0;

  std::deque<Input> m_inputs;
  std::map<ProposalId, std::shared_ptr<Pending>> m_pending;
  mutable boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_input_added;
  // Notified after every step and, for the many that wait for a newer state, only after a change of it.
  boost::fibers::condition_variable m_stepped;
  boost::fibers::condition_variable m_state_changed;
  boost::fibers::fiber m_fiber;
  RaftRole m_logged_role = RaftRole::kFollower;
  Term m_logged_term = 0;
  bool m_stopping = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_CONTROL_REPLICA_H_
