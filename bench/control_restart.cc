// Measures what it costs to bring all balancers up to date after all control hosts have started again: bytes and time
// in virtual time over links with a rate, and the processor time of the control hosts' start.
#include <zstd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fighatch/sync_client.h"
#include "fighatch/sync_server.h"
#include "report.h"
#include "target_bench.h"

namespace fighatch::bench {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kControlHosts = 3;
constexpr std::uint32_t kFirstBalancer = 100;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kLatency = milliseconds(1);
// Intervals at which balancers ask without and with contact to control hosts.
constexpr int kFastPollSteps = 10;
constexpr int kRegularPollSteps = 50;
// Entries between snapshots of a control host.
constexpr std::size_t kSnapshotEntries = 32;
// Rate of a control host's link; a balancer's is not the narrow place.
constexpr double kLinkBytesPerSecond = 125e6;
constexpr std::size_t kRouteBytes = 250;
// A change must be in force everywhere within this time.
constexpr double kMaxSeconds = 5;

// Parses the documents of `MakeDocument`.
class JsonReader : public DocumentReader {
 public:
  [[nodiscard]] Result<RoutingState> Read(std::string_view text) const override {
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) return MakeError(ErrorCode::kTicketMalformed);
    RoutingState state;
    state.m_version = document.at("version");
    state.m_services["s"] = {"s", 0};
    for (const nlohmann::json& route : document.at("routes")) {
      const Endpoint address{IpAddress::FromV4(route.at("address")), route.at("port")};
      state.m_routes[address] = {address, {{route.at("service"), 1}}, route.at("priority"), route.at("objective_ms")};
    }
    return state;
  }
};

// A document whose text takes about `bytes`; the first route differs with each version.
std::string MakeDocument(std::uint64_t version, std::size_t bytes) {
  constexpr std::uint32_t kFirstAddress = 0x0A000000;
  constexpr std::uint32_t kChangingAddress = 0x0A800000;
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (std::size_t number = 0; number < bytes / kRouteBytes; ++number) {
    const std::uint64_t address = number == 0 ? kChangingAddress + version : kFirstAddress + number;
    std::string route = R"({"name":"route-)" + std::to_string(number) + R"(","address":)" + std::to_string(address) +
                        R"(,"port":443,"service":"s","priority":2,"objective_ms":150})";
    route.resize(kRouteBytes - 1, ' ');
    text += (number == 0 ? "" : ",") + route;
  }
  return text + "]}";
}

// Bytes of a message on the wire: the transport compresses what does not fit into a small datagram.
std::size_t WireBytes(const std::vector<std::byte>& message) {
  constexpr std::size_t kCompressionThresholdBytes = 512;
  if (message.size() < kCompressionThresholdBytes) return message.size();
  std::vector<std::byte> compressed(ZSTD_compressBound(message.size()));
  return std::min(message.size(),
                  ZSTD_compress(compressed.data(), compressed.size(), message.data(), message.size(), 1));
}

struct ControlHost {
  ControlHost(std::uint32_t number, std::uint64_t incarnation, const DocumentReader* reader)
      : m_log(reader), m_server(HostId{number}, incarnation, &m_directory, &m_log) {}

  TargetDirectory m_directory;
  RoutingLog m_log;
  SyncServer m_server;
  TimePoint m_link_free;
};

struct Balancer {
  explicit Balancer(std::uint32_t number) : m_client({HostId{number}, SyncRole::kBalancer, "a", kControlHosts}) {
    m_client.SetSeeds({HostId{1}, HostId{2}, HostId{3}});
  }

  SyncClient m_client;
  PublishedState m_state;
  std::uint64_t m_received_bytes = 0;
};

struct Delivery {
  TimePoint m_at;
  std::size_t m_balancer = 0;
  SyncReply m_reply;
};

// Three control hosts and their balancers.
class Deployment {
 public:
  Deployment(std::size_t balancers, std::size_t document_bytes) : m_document_bytes(document_bytes) {
    for (std::uint32_t number = 1; number <= kControlHosts; ++number) StartHost(number);
    for (std::uint32_t number = 0; number < balancers; ++number) m_balancers.emplace_back(kFirstBalancer + number);
  }

  void CommitDocument() { Commit(DocumentCommand{++m_version, MakeDocument(m_version, m_document_bytes)}); }
  void CommitDataCentre(bool out) { Commit(DataCentreCommand{"a", out}); }

  // Kills all control hosts and starts them again; returns the processor time of one start in milliseconds.
  double Restart() {
    const double before = CpuSeconds();
    m_deliveries.clear();
    for (std::uint32_t number = 1; number <= kControlHosts; ++number) {
      StartHost(number);
      RoutingLog& log = m_hosts[number - 1]->m_log;
      if (!m_snapshot.empty()) (void)log.Restore(std::as_bytes(std::span(m_snapshot)));
      (void)log.Replay(m_entries);
    }
    return (CpuSeconds() - before) * 1e3 / kControlHosts;
  }

  // Runs until all balancers hold the newest state, or for `limit`; returns the time in seconds.
  double RunUntilCurrent(Duration limit, bool stop_early = true) {
    const TimePoint start = m_now;
    while (m_now - start < limit && !(stop_early && AllAreCurrent())) Step();
    return std::chrono::duration<double>(m_now - start).count();
  }

  [[nodiscard]] bool AllAreCurrent() const {
    const PublishedState& published = *m_hosts[0]->m_log.Published();
    return std::all_of(m_balancers.begin(), m_balancers.end(), [&](const Balancer& balancer) {
      return balancer.m_state.m_index == published.m_index && balancer.m_state.m_routing == published.m_routing;
    });
  }

  void SetBalancersAreCutOff(bool cut_off) { m_is_cut_off = cut_off; }
  void ResetBytes() {
    m_bytes = 0;
    for (Balancer& balancer : m_balancers) balancer.m_received_bytes = 0;
  }
  [[nodiscard]] double Bytes() const { return static_cast<double>(m_bytes); }
  [[nodiscard]] double MostBytesOfOneBalancer() const {
    std::uint64_t most = 0;
    for (const Balancer& balancer : m_balancers) most = std::max(most, balancer.m_received_bytes);
    return static_cast<double>(most);
  }

 private:
  void StartHost(std::uint32_t number) {
    m_hosts[number - 1] = std::make_unique<ControlHost>(number, ++m_incarnation, &m_reader);
    m_hosts[number - 1]->m_server.SetControlHosts({HostId{1}, HostId{2}, HostId{3}});
    m_hosts[number - 1]->m_link_free = m_now;
  }

  void Commit(const RoutingCommand& command) {
    m_entries.emplace_back(++m_index, command);
    for (const auto& host : m_hosts) (void)host->m_log.Apply(m_index, command);
    if (m_entries.size() < kSnapshotEntries) return;
    m_snapshot = m_hosts[0]->m_log.EncodeSnapshot();
    m_entries.clear();
  }

  void Step() {
    m_now += kStep;
    ++m_steps;
    for (std::size_t index = 0; index < m_balancers.size(); ++index) Poll(index);
    if (!m_is_cut_off) Push();
    while (!m_deliveries.empty() && m_deliveries.front().m_at <= m_now) {
      Deliver(m_deliveries.front());
      m_deliveries.pop_front();
    }
  }

  void Poll(std::size_t index) {
    Balancer& balancer = m_balancers[index];
    const int interval = balancer.m_client.IsCurrent(m_now) ? kRegularPollSteps : kFastPollSteps;
    if ((m_steps + static_cast<int>(index)) % interval != 0) return;
    for (const auto& [host, request] : balancer.m_client.Tick(m_now, balancer.m_state.Position())) {
      if (m_is_cut_off) continue;
      m_bytes += EncodeSyncRequest(request).size();
      ControlHost& control = *m_hosts[host.m_value - 1];
      Send(&control, index, control.m_server.Answer(m_now, request, true));
    }
  }

  void Push() {
    for (const auto& control : m_hosts) {
      for (auto& [host, reply] : control->m_server.Push(m_now, true)) {
        Send(control.get(), host.m_value - kFirstBalancer, std::move(reply));
      }
    }
  }

  void Send(ControlHost* control, std::size_t balancer, SyncReply reply) {
    const std::size_t bytes = WireBytes(EncodeSyncReply(reply));
    m_bytes += bytes;
    m_balancers[balancer].m_received_bytes += bytes;
    const auto duration = std::chrono::duration<double>(static_cast<double>(bytes) / kLinkBytesPerSecond);
    control->m_link_free = std::max(control->m_link_free, m_now) + std::chrono::duration_cast<Duration>(duration);
    const Delivery delivery{control->m_link_free + kLatency, balancer, std::move(reply)};
    const auto after = std::upper_bound(m_deliveries.begin(), m_deliveries.end(), delivery.m_at,
                                        [](TimePoint at, const Delivery& other) { return at < other.m_at; });
    m_deliveries.insert(after, delivery);
  }

  void Deliver(const Delivery& delivery) {
    Balancer& balancer = m_balancers[delivery.m_balancer];
    (void)balancer.m_client.Receive(m_now, delivery.m_reply);
    if (delivery.m_reply.m_update) (void)ApplyUpdate(*delivery.m_reply.m_update, &balancer.m_state);
  }

  JsonReader m_reader;
  std::size_t m_document_bytes;
  TimePoint m_now{std::chrono::seconds(10)};
  int m_steps = 0;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_version = 0;
  LogIndex m_index = 0;
  std::string m_snapshot;
  // The committed entries after the snapshot.
  std::vector<std::pair<LogIndex, RoutingCommand>> m_entries;
  std::array<std::unique_ptr<ControlHost>, kControlHosts> m_hosts;
  std::vector<Balancer> m_balancers;
  std::deque<Delivery> m_deliveries;
  bool m_is_cut_off = false;
  std::uint64_t m_bytes = 0;
};

// What all balancers have missed when the control hosts are killed: nothing, a data centre command, the only document
// after the snapshot, or the second one, which leaves the first one unparsed.
enum class Missed : std::uint8_t { kNothing = 0, kDataCentre = 1, kDocument = 2, kSecondDocument = 3 };
constexpr std::array<const char*, 4> kMissedNames{"nothing", "data_centre", "document", "second_document"};

void MeasureRestart(std::size_t balancers, std::size_t document_bytes, Missed missed) {
  Deployment deployment(balancers, document_bytes);
  // The documents of the first entries are in the snapshot; the entries after it are replayed.
  for (std::size_t entry = 0; entry < kSnapshotEntries; ++entry) deployment.CommitDocument();
  if (missed == Missed::kSecondDocument) deployment.CommitDocument();
  for (const bool out : {true, false, true}) deployment.CommitDataCentre(out);
  deployment.RunUntilCurrent(std::chrono::seconds(60));
  deployment.SetBalancersAreCutOff(true);
  if (missed == Missed::kDataCentre) deployment.CommitDataCentre(false);
  if (missed == Missed::kDocument || missed == Missed::kSecondDocument) deployment.CommitDocument();
  const double start_ms = deployment.Restart();
  deployment.RunUntilCurrent(milliseconds(1500), false);
  deployment.SetBalancersAreCutOff(false);
  deployment.ResetBytes();
  const double seconds = deployment.RunUntilCurrent(std::chrono::seconds(60));
  deployment.RunUntilCurrent(std::chrono::seconds(2), false);
  const std::string suffix = std::string(".missed_") + kMissedNames[static_cast<std::size_t>(missed)] + ".balancers_" +
                             std::to_string(balancers) + ".document_kb_" + std::to_string(document_bytes / 1000);
  const double all = static_cast<double>(balancers);
  Report("control_restart.bytes_per_balancer" + suffix, deployment.Bytes() / all, "B");
  Report("control_restart.most_bytes_to_one_balancer" + suffix, deployment.MostBytesOfOneBalancer(), "B");
  Report("control_restart.start" + suffix, start_ms, "ms CPU");
  Report("control_restart.until_current" + suffix, seconds, "s", kMaxSeconds);
}

// A start with the longest log, whose entries are all documents.
void MeasureLongLog(std::size_t document_bytes) {
  Deployment deployment(1, document_bytes);
  for (std::size_t entry = 0; entry + 1 < 2 * kSnapshotEntries; ++entry) deployment.CommitDocument();
  Report("control_restart.start.long_log.document_kb_" + std::to_string(document_bytes / 1000), deployment.Restart(),
         "ms CPU");
}

// Bytes of a balancer that follows without a change.
void MeasureIdle(std::size_t balancers) {
  Deployment deployment(balancers, 156'000);
  deployment.CommitDocument();
  deployment.RunUntilCurrent(std::chrono::seconds(20));
  deployment.ResetBytes();
  deployment.RunUntilCurrent(std::chrono::seconds(20), false);
  Report("control_restart.idle_bytes_per_balancer.balancers_" + std::to_string(balancers),
         deployment.Bytes() / static_cast<double>(balancers) / 20, "B/s");
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  using namespace fighatch::bench;  // NOLINT(google-build-using-namespace)
  const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  constexpr std::size_t kSmallDocument = 156'000;
  constexpr std::size_t kLargeDocument = 2'500'000;
  MeasureIdle(8);
  MeasureLongLog(kLargeDocument);
  for (const Missed missed : {Missed::kNothing, Missed::kDataCentre, Missed::kDocument, Missed::kSecondDocument}) {
    for (const std::size_t balancers : {8U, 100U, 300U}) {
      MeasureRestart(balancers, kSmallDocument, missed);
      if (!quick) MeasureRestart(balancers, kLargeDocument, missed);
    }
  }
  return 0;
}
