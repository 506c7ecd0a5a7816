#include <algorithm>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>

#include "consensus/storage_view.h"
#include "fighatch/file_log_storage.h"
#include "fighatch/routing_log.h"
#include "io/posix_directory.h"

namespace {

using fighatch::EntryKind;
using fighatch::ErrorOf;
using fighatch::FileLogStorage;
using fighatch::IsOk;
using fighatch::LogEntry;
using fighatch::ValueOf;

enum class ExitCode : int { kOk = 0, kFailed = 1, kUsage = 2, kRefusedContent = 3 };

// The options of one run.
struct Options {
  std::string m_folder;
  std::size_t m_last_entries = 5;
  std::optional<std::uint64_t> m_restore;
  bool m_dry_run = false;
};

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "fighatch-storage",
      "Shows the data folder of a stopped control host, and restores files that the host has set aside.\n"
      "Examples:\n"
      "  fighatch-storage --folder /var/lib/fighatch\n"
      "  fighatch-storage --folder /var/lib/fighatch --restore 1 --dry-run\n"
      "Exit codes: 0 done, 1 the folder cannot be used, 2 wrong usage, 3 this program cannot read some of the files.");
  options.add_options()("folder", "data folder of the control host", cxxopts::value<std::string>())(
      "last", "number of log entries to show, counted from the last",
      cxxopts::value<std::size_t>()->default_value("5"))(
      "restore", "number of the set of files to restore; the present files are set aside in turn",
      cxxopts::value<std::uint64_t>())("dry-run", "with --restore: check and show, change nothing")(
      "version", "print the version")("help", "print this text");
  return options;
}

std::string DescribePayload(const LogEntry& entry) {
  if (entry.m_kind == EntryKind::kEmpty) return "empty";
  if (entry.m_kind == EntryKind::kConfiguration) return "members of the group";
  const fighatch::Result<fighatch::RoutingCommand> command = fighatch::DecodeRoutingCommand(entry.m_payload);
  if (!IsOk(command)) return "payload of another kind";
  if (const auto* document = std::get_if<fighatch::DocumentCommand>(&ValueOf(command))) {
    return "document version=" + std::to_string(document->m_version) +
           " bytes=" + std::to_string(document->m_text.size());
  }
  const auto& data_centre = std::get<fighatch::DataCentreCommand>(ValueOf(command));
  return "data centre " + data_centre.m_name + (data_centre.m_out ? " out" : " in");
}

void PrintStored(const fighatch::StoredLog& stored, const FileLogStorage& storage, std::size_t last_entries) {
  std::cout << "  vote: term=" << stored.m_vote.m_term << "\n";
  if (stored.m_snapshot) {
    std::cout << "  snapshot: index=" << stored.m_snapshot->m_index << " term=" << stored.m_snapshot->m_term
              << " bytes=" << stored.m_snapshot->m_data.size() << "\n";
  }
  std::cout << "  log: entries=" << stored.m_entries.size();
  if (!stored.m_entries.empty()) {
    std::cout << " first=" << stored.m_entries.front().m_index << " last=" << stored.m_entries.back().m_index;
  }
  std::cout << " torn_bytes=" << storage.TornBytes() << "\n";
  const std::size_t skipped = stored.m_entries.size() - std::min(last_entries, stored.m_entries.size());
  for (std::size_t position = skipped; position < stored.m_entries.size(); ++position) {
    const LogEntry& entry = stored.m_entries[position];
    std::cout << "    index=" << entry.m_index << " term=" << entry.m_term << " " << DescribePayload(entry) << "\n";
  }
}

// Prints the files with this prefix; false if this program cannot read them.
bool PrintFiles(fighatch::StorageDirectory* directory, const std::string& prefix, const Options& options) {
  fighatch::StorageView view(directory, prefix);
  const auto identity = FileLogStorage::ReadIdentity(&view);
  if (!IsOk(identity)) {
    std::cout << "  refused: " << ToString(ErrorOf(identity)) << "\n";
    return false;
  }
  const fighatch::RaftPeer& self = ValueOf(identity).m_self;
  std::cout << "  identity: host=" << self.m_host.m_value << " disk=" << self.m_disk.m_value
            << " founding_members=" << ValueOf(identity).m_founding_configuration.m_members.size() << "\n";
  const auto storage = FileLogStorage::Open(&view, self.m_host);
  if (!IsOk(storage)) {
    std::cout << "  refused: " << ToString(ErrorOf(storage)) << "\n";
    return false;
  }
  PrintStored(ValueOf(storage)->TakeStored(), *ValueOf(storage), options.m_last_entries);
  return true;
}

ExitCode Show(fighatch::StorageDirectory* directory, const Options& options) {
  const auto sets = FileLogStorage::ListSetsAside(directory);
  const auto formatted = FileLogStorage::IsFormatted(directory);
  if (!IsOk(sets)) {
    std::cerr << ToString(ErrorOf(sets)) << "\n";
    return ExitCode::kFailed;
  }
  bool all_readable = true;
  const bool is_empty = IsOk(formatted) && !ValueOf(formatted);
  std::cout << (is_empty ? "present files: none\n" : "present files:\n");
  if (!is_empty) all_readable = PrintFiles(directory, "", options);
  for (const std::uint64_t number : ValueOf(sets)) {
    std::cout << "set aside " << number << ":\n";
    all_readable = PrintFiles(directory, FileLogStorage::SetAsidePrefix(number), options) && all_readable;
  }
  return all_readable ? ExitCode::kOk : ExitCode::kRefusedContent;
}

ExitCode Restore(fighatch::StorageDirectory* directory, const Options& options) {
  const std::string prefix = FileLogStorage::SetAsidePrefix(*options.m_restore);
  std::cout << "set aside " << *options.m_restore << ":\n";
  if (!PrintFiles(directory, prefix, options)) {
    std::cerr << "this program cannot read the files either\nnext: keep them, and try the release that wrote them\n";
    return ExitCode::kRefusedContent;
  }
  if (options.m_dry_run) {
    std::cout << "dry run: nothing was changed\n";
    return ExitCode::kOk;
  }
  const fighatch::Status restored = FileLogStorage::RestoreSetAside(directory, *options.m_restore);
  if (!IsOk(restored)) {
    std::cerr << ToString(ErrorOf(restored)) << "\n";
    return ExitCode::kFailed;
  }
  std::cout << "restored; the files that were present are set aside\n";
  return ExitCode::kOk;
}

int Run(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return static_cast<int>(ExitCode::kOk);
  }
  if (parsed.count("version") > 0) {
    std::cout << "fighatch-storage " << FIGHATCH_VERSION << "\n";
    return static_cast<int>(ExitCode::kOk);
  }
  if (parsed.count("folder") == 0 || !parsed.unmatched().empty()) {
    std::cerr << "fighatch-storage: name the data folder with --folder\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  Options run;
  run.m_folder = parsed["folder"].as<std::string>();
  run.m_last_entries = parsed["last"].as<std::size_t>();
  run.m_dry_run = parsed.count("dry-run") > 0;
  if (parsed.count("restore") > 0) run.m_restore = parsed["restore"].as<std::uint64_t>();
  if (!std::filesystem::is_directory(run.m_folder)) {
    std::cerr << "fighatch-storage: " << run.m_folder << " is not a folder\n";
    return static_cast<int>(ExitCode::kUsage);
  }
  const auto directory = fighatch::io::PosixDirectory::Open(run.m_folder);
  if (!IsOk(directory)) {
    std::cerr << ToString(ErrorOf(directory)) << "\nnext: stop the control host that uses the folder\n";
    return static_cast<int>(ExitCode::kFailed);
  }
  fighatch::StorageDirectory* files = ValueOf(directory).get();
  return static_cast<int>(run.m_restore ? Restore(files, run) : Show(files, run));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "fighatch-storage: " << error.what() << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
}
