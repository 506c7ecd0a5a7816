#ifndef FIGHATCH_BENCH_TASK_POOL_H_
#define FIGHATCH_BENCH_TASK_POOL_H_

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <type_traits>
#include <utility>
#include <vector>

namespace fighatch::bench {

/// Runs independent tasks on as many threads as there are processors, and starts them in the order in which they were
/// submitted. The destructor waits until all of them have ended.
class TaskPool {
 public:
  TaskPool() {
    const unsigned thread_count = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned count = 0; count < thread_count; ++count) m_threads.emplace_back([this] { RunTasks(); });
  }
  ~TaskPool() {
    {
      const std::lock_guard lock(m_mutex);
      m_closed = true;
    }
    m_changed.notify_all();
    for (std::thread& thread : m_threads) thread.join();
  }
  TaskPool(const TaskPool&) = delete;
  TaskPool& operator=(const TaskPool&) = delete;

  /// Queues a task and returns its future result.
  template <typename Task>
  [[nodiscard]] std::future<std::invoke_result_t<Task>> Submit(Task task) {
    const auto packaged = std::make_shared<std::packaged_task<std::invoke_result_t<Task>()>>(std::move(task));
    {
      const std::lock_guard lock(m_mutex);
      m_tasks.emplace_back([packaged] { (*packaged)(); });
    }
    m_changed.notify_one();
    return packaged->get_future();
  }

 private:
  void RunTasks() {
    for (;;) {
      std::unique_lock lock(m_mutex);
      m_changed.wait(lock, [this] { return m_closed || !m_tasks.empty(); });
      if (m_tasks.empty()) return;
      const std::function<void()> task = std::move(m_tasks.front());
      m_tasks.pop_front();
      lock.unlock();
      task();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<std::function<void()>> m_tasks;
  bool m_closed = false;
  std::vector<std::thread> m_threads;
};

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_TASK_POOL_H_
