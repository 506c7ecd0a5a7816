#ifndef FIGHATCH_TESTS_MEMORY_DIRECTORY_H_
#define FIGHATCH_TESTS_MEMORY_DIRECTORY_H_

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fighatch/random.h"
#include "fighatch/storage_directory.h"

namespace fighatch::testing_support {

/// A `StorageDirectory` in memory that simulates crashes. A crash loses data that was not synced: of each file a random
/// part of the bytes after the last sync survives, possibly damaged, and of the creations, renames and removals since
/// the last folder sync a random prefix survives.
class MemoryDirectory : public StorageDirectory {
 public:
  explicit MemoryDirectory(std::uint64_t seed) : m_random(seed) {}

  /// Simulates a crash after `calls` more modifying calls: the next one may take partial effect and fails, and all
  /// calls after it fail. Without a value no crash is simulated.
  void CrashAfter(std::optional<std::uint64_t> calls) { m_calls_left = calls; }
  /// While set, the disk has no room: an append writes a part of its bytes and fails with `kStorageFull`.
  void SetFull(bool full) { m_is_full = full; }
  /// From now on each sync takes this long.
  void SetSyncTime(std::chrono::milliseconds time) { m_sync_time = time; }
  /// Makes the next sync fail.
  void FailNextSync() { m_fail_sync = true; }
  [[nodiscard]] bool HasCrashed() const { return m_crashed; }
  [[nodiscard]] std::uint64_t Calls() const { return m_calls; }

  /// Discards data that was not synced, as a crash would, and lets calls succeed again.
  void Restart() {
    const std::size_t kept_changes = m_random.Below(m_name_changes.size() + 1);
    for (std::size_t index = 0; index < kept_changes; ++index) m_name_changes[index](&m_durable_names);
    m_name_changes.clear();
    m_names = m_durable_names;
    for (auto& [name, file] : m_names) file->Crash(&m_random);
    m_crashed = false;
    m_calls_left.reset();
  }
  /// Removes all files.
  void Wipe() { m_names.clear(), m_durable_names.clear(), m_name_changes.clear(); }
  /// The bytes of a file, for a test to damage.
  [[nodiscard]] std::string* Content(const std::string& name) { return &m_names.at(name)->m_content; }

  Result<std::vector<std::string>> List() override {
    std::vector<std::string> names;
    for (const auto& [name, file] : m_names) names.push_back(name);
    return names;
  }
  Result<std::string> Read(const std::string& name) override {
    if (!m_names.contains(name)) return MakeError(ErrorCode::kStorageIo, name);
    return m_names.at(name)->m_content;
  }
  Status Append(const std::string& name, std::string_view bytes) override {
    const bool stops = CountCall();
    if (m_crashed && !stops) return Crashed();
    if (!m_names.contains(name)) {
      ChangeNames([name, file = std::make_shared<File>()](Names* names) { (*names)[name] = file; });
    }
    if (m_is_full) {
      m_names.at(name)->m_content += bytes.substr(0, m_random.Below(bytes.size() + 1));
      return MakeError(ErrorCode::kStorageFull, name);
    }
    m_names.at(name)->m_content += stops ? bytes.substr(0, m_random.Below(bytes.size() + 1)) : bytes;
    return stops ? Crashed() : OkStatus();
  }
  Status Truncate(const std::string& name, std::size_t size) override {
    if (CountCall() || m_crashed) return Crashed();
    m_names.at(name)->m_content.resize(size);
    return OkStatus();
  }
  Status SyncFile(const std::string& name) override {
    if (CountCall() || m_crashed) return Crashed();
    std::this_thread::sleep_for(m_sync_time.load());
    if (m_fail_sync) return MakeError(ErrorCode::kStorageSyncFailed, name);
    m_names.at(name)->m_durable = m_names.at(name)->m_content;
    return OkStatus();
  }
  Status SyncFolder() override {
    if (CountCall() || m_crashed) return Crashed();
    std::this_thread::sleep_for(m_sync_time.load());
    if (m_fail_sync) return MakeError(ErrorCode::kStorageSyncFailed, "folder");
    for (const auto& change : m_name_changes) change(&m_durable_names);
    m_name_changes.clear();
    return OkStatus();
  }
  Status Rename(const std::string& from, const std::string& to) override {
    if (CountCall() || m_crashed) return Crashed();
    ChangeNames([from, to](Names* names) {
      (*names)[to] = (*names)[from];
      names->erase(from);
    });
    return OkStatus();
  }
  Status Remove(const std::string& name) override {
    if (CountCall() || m_crashed) return Crashed();
    ChangeNames([name](Names* names) { names->erase(name); });
    return OkStatus();
  }

 private:
  struct File {
    std::string m_content;
    std::string m_durable;

    void Crash(Random* random) {
      if (m_content.size() < m_durable.size()) {
        // A truncation that was not synced may or may not have reached the disk.
        if (random->Below(2) == 0) m_content = m_durable;
      } else {
        const std::size_t fresh = m_content.size() - m_durable.size();
        m_content.resize(m_durable.size() + random->Below(fresh + 1));
        // Pages reach the disk in any order, so zeros may precede bytes that were written.
        if (fresh > 0 && random->Below(3) == 0) {
          for (std::size_t at = m_durable.size() + random->Below(fresh); at < m_content.size() && random->Below(9) != 0;
               ++at) {
            m_content[at] = 0;
          }
        }
      }
      m_durable = m_content;
    }
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  void ChangeNames(std::function<void(Names*)> change) {
    change(&m_names);
    m_name_changes.push_back(std::move(change));
  }
  // Counts a modifying call; returns true if the simulated crash happens in it.
  bool CountCall() {
    ++m_calls;
    if (m_crashed || !m_calls_left) return false;
    if (*m_calls_left > 0) return --*m_calls_left, false;
    return m_crashed = true;
  }
  static Status Crashed() { return MakeError(ErrorCode::kStorageIo, "crashed"); }

  Random m_random;
  Names m_names;
  Names m_durable_names;
  std::deque<std::function<void(Names*)>> m_name_changes;
  std::optional<std::uint64_t> m_calls_left;
  std::uint64_t m_calls = 0;
  bool m_crashed = false;
  bool m_fail_sync = false;
  std::atomic<bool> m_is_full = false;
  std::atomic<std::chrono::milliseconds> m_sync_time{};
};

}  // namespace fighatch::testing_support

#endif  // FIGHATCH_TESTS_MEMORY_DIRECTORY_H_
