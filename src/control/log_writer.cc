#include "control/log_writer.h"

#include <glog/logging.h>
#include <unistd.h>

#include <boost/fiber/operations.hpp>
#include <utility>

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kStorageExitCode = 4;
// Delay before a process whose storage fails exits, so that it is not restarted many times a second.
constexpr milliseconds kStorageExitDelay{1000};
// Interval at which a write is repeated while the disk has no room.
constexpr milliseconds kStorageRetryInterval{200};
// A longer write is logged: it delays every change that needs this host.
constexpr milliseconds kSlowWrite{200};

}  // namespace

void LogWriter::Start(Observer observer) {
  m_observer = std::move(observer);
  m_fiber = boost::fibers::fiber([this] { Loop(); });
}

void LogWriter::Stop() {
  m_stopping = true;
  m_write_added.notify_all();
  if (m_fiber.joinable()) m_fiber.join();
}

void LogWriter::WriteOutput(RaftOutput output) {
  const auto data = std::make_shared<const RaftOutput>(std::move(output));
  Add([this, data] { WriteUntilRoom([this, data] { return Persist(*data, m_storage); }); });
}

void LogWriter::SaveSnapshot(std::shared_ptr<const RaftSnapshot> snapshot, LogIndex keep_from) {
  ++m_snapshots;
  Add([this, saved = std::move(snapshot), keep_from] { SaveOnce(*saved, keep_from); });
}

void LogWriter::Add(std::function<void()> write) {
  m_writes.push_back(std::move(write));
  m_write_added.notify_one();
}

void LogWriter::Loop() {
  while (!m_stopping) {
    {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      m_write_added.wait(lock, [this] { return m_stopping || !m_writes.empty(); });
    }
    if (m_stopping) return;
    const std::function<void()> write = std::move(m_writes.front());
    m_writes.pop_front();
    write();
  }
}

Status LogWriter::WriteOnce(const std::function<Status()>& call, const char* what) {
  const auto started = steady_clock::now();
  Status status = m_worker.Run(call);
  const auto duration = steady_clock::now() - started;
  m_latency.Add(duration);
  if (duration >= kSlowWrite) {
    LOG(WARNING) << "event=slow_write what=" << what
                 << " ms=" << std::chrono::duration_cast<milliseconds>(duration).count()
                 << " meaning=\"the disk is slow; changes that need this host wait for it\"";
  }
  return status;
}

void LogWriter::WriteUntilRoom(const std::function<Status()>& call) {
  constexpr const char* kWhat = "log";
  Status status = WriteOnce(call, kWhat);
  while (!IsOk(status) && !m_stopping) {
    if (ErrorOf(status).m_code != ErrorCode::kStorageFull) ExitOnError(ErrorOf(status));
    if (!std::exchange(m_is_full, true)) {
      LOG(ERROR) << "event=storage_full " << ToString(ErrorOf(status))
                 << " next=\"this host takes no part in the group until there is room\"";
      m_observer();
    }
    boost::this_fiber::sleep_for(kStorageRetryInterval);
    status = WriteOnce(call, kWhat);
  }
  // A stop while the disk has no room: the write is not reported as done.
  if (!IsOk(status)) return;
  if (std::exchange(m_is_full, false)) LOG(INFO) << "event=storage_has_room";
  m_written = true;
  m_observer();
}

void LogWriter::SaveOnce(const RaftSnapshot& snapshot, LogIndex keep_from) {
  const Status status = WriteOnce([&] { return m_storage->SaveSnapshot(snapshot, keep_from); }, "snapshot");
  --m_snapshots;
  if (IsOk(status)) {
    LOG(INFO) << "event=snapshot_saved index=" << snapshot.m_index << " bytes=" << snapshot.m_data.size();
  } else if (ErrorOf(status).m_code == ErrorCode::kStorageFull) {
    // The log on the disk stays whole; the next snapshot replaces it.
    LOG(WARNING) << "event=snapshot_not_saved index=" << snapshot.m_index << " " << ToString(ErrorOf(status));
  } else {
    ExitOnError(ErrorOf(status));
  }
}

void LogWriter::ExitOnError(const Error& error) {
  LOG(ERROR) << "event=storage_failed " << ToString(error) << " next=\"the process stops\"";
  google::FlushLogFiles(google::INFO);
  usleep(static_cast<useconds_t>(std::chrono::microseconds(kStorageExitDelay).count()));
  _exit(kStorageExitCode);
}

}  // namespace fighatch::daemon
