#ifndef FIGHATCH_DAEMON_BLOCKING_WORKER_H_
#define FIGHATCH_DAEMON_BLOCKING_WORKER_H_

#include <boost/fiber/future/future.hpp>
#include <boost/fiber/future/packaged_task.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "fighatch/result.h"

namespace fighatch::daemon {

/// Runs blocking calls, such as file writes and syncs, on a dedicated thread. The calling fiber is suspended meanwhile,
/// so that a slow disk does not block the other fibers of its thread. Errors are those of the call.
class BlockingWorker {
 public:
  BlockingWorker() : m_thread([this] { Loop(); }) {}
  ~BlockingWorker() {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
  }
  BlockingWorker(const BlockingWorker&) = delete;
  BlockingWorker& operator=(const BlockingWorker&) = delete;

  /// Runs `call` on the worker thread, suspends the calling fiber until it has returned and returns its result. Only
  /// one fiber at a time may use the worker.
  [[nodiscard]] Status Run(std::function<Status()> call) {
    boost::fibers::packaged_task<Status()> task(std::move(call));
    boost::fibers::future<Status> result = task.get_future();
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_task = std::move(task);
    }
    m_changed.notify_one();
    return result.get();
  }

 private:
  void Loop() {
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
      m_changed.wait(lock, [this] { return m_stopping || m_task; });
      if (!m_task) return;
      boost::fibers::packaged_task<Status()> task = std::move(*m_task);
      m_task.reset();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::optional<boost::fibers::packaged_task<Status()>> m_task;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_BLOCKING_WORKER_H_
