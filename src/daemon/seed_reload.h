#ifndef FIGHATCH_DAEMON_SEED_RELOAD_H_
#define FIGHATCH_DAEMON_SEED_RELOAD_H_

#include <glog/logging.h>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "config/discovery_settings.h"
#include "daemon/program.h"
#include "daemon/settings_watch.h"
#include "fighatch/sync_client.h"

namespace fighatch::daemon {

/// Applies changes of the seeds in a daemon's settings file while the daemon runs. Addresses, ports and folders belong
/// to open sockets and files, so changes of them take effect only with a restart. A file that cannot be read or has
/// errors changes nothing.
template <typename Settings>
class SeedReload {
 public:
  using ParseFunction = Result<Settings> (*)(std::string_view text);

  /// Sets the seeds in `discovery` as the client's seeds; `discovery` and `client` must outlive this object.
  SeedReload(std::string path, ParseFunction parse, config::DiscoverySettings* discovery, SyncClient* client)
      : m_path(std::move(path)), m_parse(parse), m_discovery(discovery), m_client(client), m_watch(m_path) {
    m_client->SetSeeds(m_discovery->SeedHosts());
  }

  /// Reloads the file if it has changed. Without contact to control hosts it is also reloaded periodically, since its
  /// seeds may have changed without a visible change of the file's attributes.
  void ReloadIfDue(bool has_contact) {
    if (m_watch.PollChange()) return Reload("file_changed");
    const bool is_due = std::chrono::steady_clock::now() - m_last_reload > kReloadIntervalWithoutContact;
    if (is_due && !has_contact) Reload("no_contact");
  }

  /// Reloads the file; `cause` only appears in the log.
  void Reload(std::string_view cause) {
    m_last_reload = std::chrono::steady_clock::now();
    const Result<std::string> text = ReadSettingsFile(m_path);
    const Result<Settings> settings = IsOk(text) ? m_parse(ValueOf(text)) : Result<Settings>(ErrorOf(text));
    if (!IsOk(settings)) {
      LOG(ERROR) << "event=reload_refused cause=" << cause << " " << ToString(ErrorOf(settings))
                 << " next=\"the settings in force stay\"";
      return;
    }
    m_discovery->m_seeds = ValueOf(settings).m_discovery.m_seeds;
    m_client->SetSeeds(m_discovery->SeedHosts());
    LOG(INFO) << "event=reloaded cause=" << cause << " seeds=" << m_discovery->m_seeds.size();
  }

 private:
  static constexpr std::chrono::milliseconds kReloadIntervalWithoutContact{1000};

  std::string m_path;
  ParseFunction m_parse;
  config::DiscoverySettings* m_discovery;
  SyncClient* m_client;
  SettingsWatch m_watch;
  std::chrono::steady_clock::time_point m_last_reload = std::chrono::steady_clock::now();
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_SEED_RELOAD_H_
