#ifndef FIGHATCH_CONTROL_LOG_WRITER_H_
#define FIGHATCH_CONTROL_LOG_WRITER_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "daemon/blocking_worker.h"
#include "fighatch/log_storage.h"
#include "fighatch/raft_node.h"
#include "observe/latency_histogram.h"

namespace fighatch::daemon {

/// Writes what a `RaftNode` has to persist, and snapshots, one after the other on a worker thread. A storage error ends
/// the process. While the disk has no room a write of the node is repeated.
class LogWriter {
 public:
  /// Called in the writer's fiber when a write of the node has ended, and when the disk is full or has room again.
  using Observer = std::function<void()>;

  explicit LogWriter(LogStorage* storage) : m_storage(storage) {}
  ~LogWriter() { Stop(); }
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void Start(Observer observer);

  /// Ends the fiber after the call to the storage that is in progress; later writes are not carried out.
  void Stop();

  /// Writes what an output has to persist, see `Persist`.
  void WriteOutput(RaftOutput output);

  /// Saves a snapshot and discards the stored entries before `keep_from`. Without room the log stays whole.
  void SaveSnapshot(std::shared_ptr<const RaftSnapshot> snapshot, LogIndex keep_from);

  /// True while a snapshot waits or is being saved.
  [[nodiscard]] bool IsSavingSnapshot() const noexcept { return m_snapshots > 0; }

  /// True while the disk has no room for a write of the node.
  [[nodiscard]] bool IsFull() const noexcept { return m_is_full; }

  /// True if a write of the node has ended and `TakeWritten` has not told so yet.
  [[nodiscard]] bool HasWritten() const noexcept { return m_written; }

  /// Returns and clears whether a write of the node has ended since the last call.
  [[nodiscard]] bool TakeWritten() noexcept { return std::exchange(m_written, false); }

  /// Durations of writes, syncs included.
  [[nodiscard]] const observe::LatencyHistogram& Latency() const noexcept { return m_latency; }

  /// Logs the error and ends the process.
  [[noreturn]] static void ExitOnError(const Error& error);

 private:
  void Add(std::function<void()> write);
  void Loop();
  [[nodiscard]] Status WriteOnce(const std::function<Status()>& call, const char* what);
  void WriteUntilRoom(const std::function<Status()>& call);
  void SaveOnce(const RaftSnapshot& snapshot, LogIndex keep_from);

  LogStorage* m_storage;
  Observer m_observer;
  BlockingWorker m_worker;
  observe::LatencyHistogram m_latency;
  std::deque<std::function<void()>> m_writes;
  std::size_t m_snapshots = 0;
  bool m_is_full = false;
  bool m_written = false;
  bool m_stopping = false;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_write_added;
  boost::fibers::fiber m_fiber;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_LOG_WRITER_H_
