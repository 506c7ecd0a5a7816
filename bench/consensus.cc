// Measures the acceptance of tickets by three control hosts in one process, connected over loopback. The baseline is a
// plain append-and-sync loop on the same disk. Also measures catch-up by delta and by snapshot, and how the cost of a
// `TicketProcessor` grows with the number of tickets.
#include <glog/logging.h>
#include <malloc.h>
#include <sodium.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "control/control_replica.h"
#include "control/control_storage.h"
#include "daemon/sealed_message_transport.h"
#include "fighatch/state_delta.h"
#include "io/reactor.h"

namespace fighatch {
namespace {

using std::chrono::steady_clock;

constexpr std::uint32_t kHosts = 3;

// Prints one result as a JSON line. `bound` and `baseline` are optional; a result passes if it does not exceed its
// bound.
void Report(const std::string& name, double value, const char* unit, std::optional<double> bound = {},
            std::optional<double> baseline = {}) {
  const auto text = [](std::optional<double> number) { return number ? std::to_string(*number) : "null"; };
  std::printf(R"({"name": "%s", "value": %.6g, "unit": "%s", "bound": %s, "baseline": %s, "pass": %s})"
              "\n",
              name.c_str(), value, unit, text(bound).c_str(), text(baseline).c_str(),
              !bound || value <= *bound ? "true" : "false");
}

double Milliseconds(steady_clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + 1e-6 * static_cast<double>(time.tv_usec);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Returns a ticket that replaces one service, of about the size that operators send.
Ticket MakeTicket(std::uint64_t number, std::uint64_t services) {
  Ticket ticket;
  ticket.m_number.m_value = number;
  ticket.m_author = "bench";
  const std::uint64_t slot = number % services;
  Service& service = ticket.m_services.emplace_back();
  service.m_name = "service-" + std::to_string(slot);
  service.m_addresses.push_back({{IpAddress::FromV4(0x0A000000U + static_cast<std::uint32_t>(slot)), 443}, {}});
  for (const char* name : {"north", "middle", "south"}) {
    service.m_admission.push_back({{IpAddress::FromV4(0x0A000000U), 104}, name});
    service.m_weights.push_back({name, 1 + static_cast<std::uint32_t>(number % 100)});
  }
  return ticket;
}

Ticket MakeDataCentres(std::uint64_t number) {
  Ticket ticket;
  ticket.m_number.m_value = number;
  for (const char* name : {"north", "middle", "south"}) ticket.m_data_centres.push_back({name, {}, {}, "r1", {}});
  return ticket;
}

// One control host that runs on its own thread.
class BenchHost {
 public:
  BenchHost(const config::ControlSettings& settings, std::map<HostId, Endpoint> peers)
      : m_settings(settings), m_peers(std::move(peers)) {}

  void Start() {
    m_thread = std::thread([this] { Run(); });
  }
  void Stop() {
    m_stop = true;
    m_thread.join();
  }
  [[nodiscard]] bool IsLeader() const { return m_is_leader; }

  /// Runs a function in a fiber of the host's thread and waits for it to return.
  void Execute(std::function<void(daemon::ControlReplica*)> call) {
    m_call = std::move(call);
    m_has_call = true;
    while (m_has_call) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

 private:
  void Run() {
    const io::Reactor reactor;
    auto storage = daemon::OpenControlStorage(m_settings);
    KeyRing keys;
    CHECK(IsOk(keys.Add(KeyKind::kCluster, 1, KeyBytes{}, true)));
    SecureChannel channel({m_settings.m_host, Incarnation{1}, m_settings.m_host.m_value}, std::move(keys));
    auto transport = daemon::SealedMessageTransport::Create(m_settings.Self().m_message_endpoint, m_peers, &channel);
    CHECK(IsOk(storage) && IsOk(transport));
    daemon::ControlReplica replica(m_settings, ValueOf(storage).m_storage.get(),
                                   ValueOf(storage).m_storage->TakeStored(), ValueOf(transport).get());
    replica.Start();
    while (!m_stop) {
      m_is_leader = replica.CanServeLinearizableReads();
      if (m_has_call) {
        m_call(&replica);
        m_has_call = false;
      }
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
    replica.Stop();
  }

  config::ControlSettings m_settings;
  std::map<HostId, Endpoint> m_peers;
  std::thread m_thread;
  std::function<void(daemon::ControlReplica*)> m_call;
  std::atomic<bool> m_has_call = false;
  std::atomic<bool> m_is_leader = false;
  std::atomic<bool> m_stop = false;
};

std::vector<double> BareSyncLoop(const std::string& folder, int count) {
  auto directory = io::PosixDirectory::Open(folder);
  CHECK(IsOk(directory));
  const std::string record(400, 'x');
  std::vector<double> latencies;
  for (int index = 0; index < count; ++index) {
    const auto start = steady_clock::now();
    CHECK(IsOk(ValueOf(directory)->Append("bare", record)));
    CHECK(IsOk(ValueOf(directory)->SyncFile("bare")));
    latencies.push_back(Milliseconds(steady_clock::now() - start));
  }
  return latencies;
}

struct LoadResult {
  std::vector<double> m_latencies_ms;
  double m_seconds = 0;
};

// Runs `fibers` concurrent submitters, each of which sends tickets one after another.
LoadResult RunLoad(daemon::ControlReplica* replica, int fibers, int tickets_each, std::uint64_t* number) {
  LoadResult result;
  std::vector<boost::fibers::fiber> submitters;
  const auto start = steady_clock::now();
  for (int fiber = 0; fiber < fibers; ++fiber) {
    submitters.emplace_back([&] {
      for (int index = 0; index < tickets_each; ++index) {
        const auto sent = steady_clock::now();
        const TicketAnswer answer = replica->Submit(MakeTicket(++*number, 100000));
        // Tickets of concurrent submitters may be applied out of order, which is harmless: each service is changed by
        // one ticket only.
        CHECK(answer.m_code == ErrorCode::kOk) << ErrorName(answer.m_code) << " " << answer.m_detail;
        result.m_latencies_ms.push_back(Milliseconds(steady_clock::now() - sent));
      }
    });
  }
  for (boost::fibers::fiber& submitter : submitters) submitter.join();
  result.m_seconds = std::chrono::duration<double>(steady_clock::now() - start).count();
  return result;
}

std::vector<std::unique_ptr<BenchHost>> StartHosts(const std::string& folder) {
  std::vector<config::ControlPeer> hosts;
  for (std::uint32_t host = 1; host <= kHosts; ++host) {
    auto listener = io::TcpListener::Listen(ValueOf(ParseEndpoint("127.0.0.1:0")));
    hosts.push_back({HostId{host}, ValueOf(listener).Local(), {}});
  }
  std::vector<std::unique_ptr<BenchHost>> started;
  for (const config::ControlPeer& self : hosts) {
    config::ControlSettings settings;
    settings.m_host = self.m_host;
    settings.m_data_folder = folder + "/host" + std::to_string(self.m_host.m_value);
    settings.m_control_hosts = hosts;
    CHECK(IsOk(daemon::BootstrapControlStorage(settings)));
    std::map<HostId, Endpoint> peers;
    for (const config::ControlPeer& peer : hosts) {
      if (peer.m_host != self.m_host) peers[peer.m_host] = peer.m_message_endpoint;
    }
    started.push_back(std::make_unique<BenchHost>(settings, peers));
    started.back()->Start();
  }
  return started;
}

BenchHost* WaitForLeader(const std::vector<std::unique_ptr<BenchHost>>& hosts) {
  for (;;) {
    for (const auto& host : hosts) {
      if (host->IsLeader()) return host.get();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

void BenchAcceptance(const std::string& folder, bool quick) {
  const int count = quick ? 300 : 3000;
  const std::vector<double> bare_latencies = BareSyncLoop(folder + "/bare", count);
  const std::vector<std::unique_ptr<BenchHost>> hosts = StartHosts(folder);
  LoadResult sequential;
  LoadResult concurrent;
  const double cpu_before = CpuSeconds();
  WaitForLeader(hosts)->Execute([&](daemon::ControlReplica* replica) {
    std::uint64_t number = 1;
    CHECK(replica->Submit(MakeDataCentres(number)).m_code == ErrorCode::kOk);
    sequential = RunLoad(replica, 1, count, &number);
    concurrent = RunLoad(replica, 64, count / 16, &number);
  });
  const auto tickets = static_cast<double>(sequential.m_latencies_ms.size() + concurrent.m_latencies_ms.size());
  const double cpu_us = (CpuSeconds() - cpu_before) * 1e6 / tickets;
  for (const auto& host : hosts) host->Stop();
  const double bare_p50 = Percentile(bare_latencies, 0.5);
  double bare_seconds = 0;
  for (const double latency : bare_latencies) bare_seconds += latency / 1000;
  const double bare_rate = static_cast<double>(bare_latencies.size()) / bare_seconds;
  Report("consensus.bare_sync_p50", bare_p50, "ms");
  Report("consensus.bare_sync_p99", Percentile(bare_latencies, 0.99), "ms");
  Report("consensus.accept_p50", Percentile(sequential.m_latencies_ms, 0.5), "ms", {}, bare_p50);
  Report("consensus.accept_p99", Percentile(sequential.m_latencies_ms, 0.99), "ms", {},
         Percentile(bare_latencies, 0.99));
  Report("consensus.accept_p50_per_bare_sync", Percentile(sequential.m_latencies_ms, 0.5) / bare_p50, "ratio", 8, 1);
  Report("consensus.accept_p50_64_submitters", Percentile(concurrent.m_latencies_ms, 0.5), "ms");
  Report("consensus.accept_p99_64_submitters", Percentile(concurrent.m_latencies_ms, 0.99), "ms");
  const double rate = static_cast<double>(concurrent.m_latencies_ms.size()) / concurrent.m_seconds;
  Report("consensus.tickets_per_second", rate, "1/s", {}, bare_rate);
  Report("consensus.bare_syncs_per_ticket_rate", bare_rate / rate, "ratio", 1, 1);
  Report("consensus.cpu_per_ticket_three_hosts", cpu_us, "us");
}

void BenchCatchUp() {
  constexpr std::uint64_t kServices = 10000;
  constexpr std::uint64_t kMissed = 500;
  TicketProcessor processor;
  (void)processor.Apply(MakeDataCentres(1), {1, 1});
  std::uint64_t number = 1;
  for (std::uint64_t index = 0; index < kServices; ++index)
    (void)processor.Apply(MakeTicket(++number, kServices), {1, number});
  StateDocument behind = processor.State();
  StateDocument behind_snapshot = behind;
  std::size_t delta_bytes = 0;
  double delta_ms = 0;
  const auto catch_up = [&](StateDocument* state, std::size_t* bytes, double* milliseconds) {
    const auto start = steady_clock::now();
    const std::vector<std::byte> encoded = EncodeDelta(*processor.DeltaSince(state->m_version));
    CHECK(IsOk(ApplyDelta(ValueOf(DecodeDelta(encoded)), state)));
    *bytes += encoded.size();
    *milliseconds += Milliseconds(steady_clock::now() - start);
  };
  for (std::uint64_t index = 1; index <= kMissed; ++index) {
    (void)processor.Apply(MakeTicket(++number, kServices), {1, number});
    if (index % (kMissed / 2) == 0) catch_up(&behind, &delta_bytes, &delta_ms);
  }
  std::size_t snapshot_bytes = 0;
  double snapshot_ms = 0;
  catch_up(&behind_snapshot, &snapshot_bytes, &snapshot_ms);
  CHECK(behind == processor.State() && behind_snapshot == processor.State());
  Report("catch_up.500_changes_as_two_deltas_bytes", static_cast<double>(delta_bytes), "B", {},
         static_cast<double>(snapshot_bytes));
  Report("catch_up.500_changes_as_two_deltas_time", delta_ms, "ms", {}, snapshot_ms);
  Report("catch_up.500_changes_as_snapshot_bytes", static_cast<double>(snapshot_bytes), "B");
  Report("catch_up.500_changes_as_snapshot_time", snapshot_ms, "ms");
  Report("catch_up.delta_bytes_per_snapshot_bytes",
         static_cast<double>(delta_bytes) / static_cast<double>(snapshot_bytes), "ratio", 0.2);
}

void BenchTicketProcessorGrowth() {
  for (const std::uint64_t tickets : {4000ULL, 16000ULL, 64000ULL}) {
    const std::size_t before = mallinfo2().uordblks;
    const double cpu_before = CpuSeconds();
    TicketProcessor processor;
    (void)processor.Apply(MakeDataCentres(1), {1, 1});
    for (std::uint64_t number = 2; number <= tickets; ++number)
      (void)processor.Apply(MakeTicket(number, 1000), {1, number});
    const auto count = static_cast<double>(tickets);
    const std::string suffix = "_" + std::to_string(tickets);
    Report("ticket_processor.cpu_per_ticket" + suffix, (CpuSeconds() - cpu_before) * 1e6 / count, "us");
    Report("ticket_processor.memory" + suffix, static_cast<double>(mallinfo2().uordblks - before), "B");
    const auto start = steady_clock::now();
    Report("ticket_processor.snapshot" + suffix, static_cast<double>(processor.EncodeSnapshot().size()), "B");
    Report("ticket_processor.snapshot_time" + suffix, Milliseconds(steady_clock::now() - start), "ms");
  }
}

}  // namespace
}  // namespace fighatch

int main(int argc, char** argv) {
  FLAGS_minloglevel = google::WARNING;
  google::InitGoogleLogging(argv[0]);
  CHECK(sodium_init() >= 0);
  const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  // The data folder is next to the program, so that it is on a disk and not on a file system in memory.
  const std::string folder = std::string(argv[0]) + ".data";
  std::filesystem::remove_all(folder);
  fighatch::BenchAcceptance(folder, quick);
  fighatch::BenchCatchUp();
  fighatch::BenchTicketProcessorGrowth();
  std::filesystem::remove_all(folder);
  return 0;
}
