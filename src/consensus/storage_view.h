#ifndef FIGHATCH_CONSENSUS_STORAGE_VIEW_H_
#define FIGHATCH_CONSENSUS_STORAGE_VIEW_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fighatch/storage_directory.h"

namespace fighatch {

/// Shows the files of a folder whose names start with a prefix, without it, as a folder of its own. An empty prefix
/// shows all files. Reads pass through; modifications succeed without effect, so that a `FileLogStorage` can be opened
/// for inspection without truncating a torn tail.
class StorageView : public StorageDirectory {
 public:
  /// `directory` must outlive the view.
  StorageView(StorageDirectory* directory, std::string prefix) : m_directory(directory), m_prefix(std::move(prefix)) {}

  [[nodiscard]] Result<std::vector<std::string>> List() override {
    const Result<std::vector<std::string>> all = m_directory->List();
    if (!IsOk(all)) return ErrorOf(all);
    std::vector<std::string> names;
    for (const std::string& name : ValueOf(all)) {
      if (name.starts_with(m_prefix)) names.push_back(name.substr(m_prefix.size()));
    }
    return names;
  }
  [[nodiscard]] Result<std::string> Read(const std::string& name) override {
    return m_directory->Read(m_prefix + name);
  }
  [[nodiscard]] Status Append(const std::string& /*name*/, std::string_view /*bytes*/) override { return OkStatus(); }
  [[nodiscard]] Status Truncate(const std::string& /*name*/, std::size_t /*size*/) override { return OkStatus(); }
  [[nodiscard]] Status SyncFile(const std::string& /*name*/) override { return OkStatus(); }
  [[nodiscard]] Status SyncFolder() override { return OkStatus(); }
  [[nodiscard]] Status Rename(const std::string& /*from*/, const std::string& /*to*/) override { return OkStatus(); }
  [[nodiscard]] Status Remove(const std::string& /*name*/) override { return OkStatus(); }

 private:
  StorageDirectory* m_directory;
  std::string m_prefix;
};

}  // namespace fighatch

#endif  // FIGHATCH_CONSENSUS_STORAGE_VIEW_H_
