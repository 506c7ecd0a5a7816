#ifndef FIGHATCH_BENCH_FORWARDING_HARNESS_H_
#define FIGHATCH_BENCH_FORWARDING_HARNESS_H_

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <ctime>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

#include "balancer/packet_receiver.h"
#include "fighatch/gue.h"
#include "io/reactor.h"
#include "io/udp_socket.h"
#include "report.h"

/// Benchmark harness for packet forwarding over loopback: packet sources, a sink, and a bare forwarder as the baseline
/// for the forwarders under test.
namespace fighatch::bench {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

inline constexpr std::uint32_t kFlows = 100'000;
inline constexpr std::uint32_t kTargets = 15;
inline constexpr std::size_t kPayloadBytes = 64;
inline constexpr std::size_t kSendBatch = 64;
inline constexpr std::size_t kPacedBatch = 8;

inline double ClockSeconds(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

inline double ProcessCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + 1e-6 * static_cast<double>(time.tv_usec);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

inline std::int64_t NowNanoseconds() { return steady_clock::now().time_since_epoch().count(); }

inline io::UdpSocket OpenSocket(const std::string& local) {
  io::UdpOptions options;
  options.m_batch = daemon::kReceiveBatch;
  options.m_datagram_bytes = daemon::kMaxGueDatagramBytes;
  options.m_headroom_bytes = kGuePrivateBytes;
  auto socket = io::UdpSocket::Bind(ValueOf(ParseEndpoint(local)), options);
  if (!IsOk(socket)) throw std::runtime_error(ToString(ErrorOf(socket)));
  return std::move(ValueOf(socket));
}

/// The packets of a run, one for each flow, and the offsets in bytes at which the source writes a sequence number and
/// the send time. The sink reads the send time at another offset if the forwarder adds a longer header.
struct Traffic {
  std::vector<std::vector<std::byte>> m_datagrams;
  std::size_t m_sequence_offset = 0;
  std::size_t m_time_offset = 0;
  std::size_t m_received_time_offset = 0;
};

/// A thread that repeats a step until it is stopped, and measures its CPU time.
class Worker {
 public:
  template <typename Step>
  explicit Worker(Step step)
      : m_thread([this, step]() mutable {
          const io::Reactor reactor;
          while (!m_stop) step();
          m_cpu_s = ClockSeconds(CLOCK_THREAD_CPUTIME_ID);
        }) {}
  ~Worker() { Stop(); }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  /// Stops the thread and returns its CPU time in seconds.
  double Stop() {
    m_stop = true;
    if (m_thread.joinable()) m_thread.join();
    return m_cpu_s;
  }

 private:
  std::atomic<bool> m_stop{false};
  double m_cpu_s = 0;
  std::thread m_thread;
};

/// Sends packets of all flows in turn, each with a new sequence number and the send time.
class Source {
 public:
  /// `rate` is in packets per second; 0 sends without pacing.
  Source(const Endpoint& to, const Traffic& traffic, std::uint32_t first_flow, double rate)
      : m_to(to), m_traffic(traffic), m_next(first_flow), m_rate(rate) {}
  void Step() {
    const std::size_t batch = m_rate > 0 ? kPacedBatch : kSendBatch;
    m_outgoing.clear();
    if (m_rate > 0) Pace(batch);
    const std::int64_t now = NowNanoseconds();
    for (std::size_t index = 0; index < batch; ++index) {
      std::vector<std::byte>& datagram = m_traffic.m_datagrams[m_next++ % m_traffic.m_datagrams.size()];
      std::memcpy(datagram.data() + m_traffic.m_sequence_offset, &m_next, sizeof(m_next));
      std::memcpy(datagram.data() + m_traffic.m_time_offset, &now, sizeof(now));
      m_outgoing.push_back({m_to, datagram});
    }
    m_socket.Send(m_outgoing);
  }

 private:
  void Pace(std::size_t batch) {
    const auto now = steady_clock::now();
    // A delayed source skips the missed packets instead of sending them in a burst.
    if (m_due + milliseconds(10) < now) m_due = now;
    std::this_thread::sleep_until(m_due);
    m_due += std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 * static_cast<double>(batch) / m_rate));
  }

  Endpoint m_to;
  // A copy, because each source writes to its packets.
  Traffic m_traffic;
  std::uint32_t m_next;
  double m_rate;
  io::UdpSocket m_socket = OpenSocket("127.0.0.1:0");
  std::vector<io::OutgoingDatagram> m_outgoing;
  steady_clock::time_point m_due = steady_clock::now();
};

/// Receives the packets for all targets on one socket that is bound to every loopback address, and measures latency.
class Sink {
 public:
  explicit Sink(std::size_t time_offset) : m_time_offset(time_offset) {}
  [[nodiscard]] std::uint16_t Port() const { return m_socket.Local().m_port; }
  void Step() {
    for (const auto& datagram : m_socket.Receive(steady_clock::now() + milliseconds(20))) {
      std::int64_t sent = 0;
      if (datagram.m_bytes.size() < m_time_offset + sizeof(sent)) continue;
      std::memcpy(&sent, datagram.m_bytes.data() + m_time_offset, sizeof(sent));
      m_latencies_us.push_back(static_cast<double>(NowNanoseconds() - sent) * 1e-3);
    }
  }
  std::vector<double> m_latencies_us;

 private:
  std::size_t m_time_offset;
  io::UdpSocket m_socket = OpenSocket("0.0.0.0:0");
};

inline Endpoint TargetAt(std::uint32_t index, std::uint16_t port) {
  return {IpAddress::FromV4(0x7F010001U + index), port};
}

/// The baseline: receives and sends batches, distributed over the targets in turn, without parsing the packets.
class BareForwarder {
 public:
  explicit BareForwarder(std::uint16_t port) : m_port(port) {}
  [[nodiscard]] Endpoint Local() const { return m_socket.Local(); }
  [[nodiscard]] std::uint64_t Forwarded() const { return m_forwarded; }
  void RefreshContact() {}
  void Start() {
    m_worker = std::make_unique<Worker>([this] { Step(); });
  }
  void Stop() { m_worker.reset(); }

 private:
  void Step() {
    m_outgoing.clear();
    for (const auto& datagram : m_socket.Receive(steady_clock::now() + milliseconds(20))) {
      m_outgoing.push_back({TargetAt(m_next++ % kTargets, m_port), datagram.m_bytes});
    }
    m_forwarded += m_socket.Send(m_outgoing);
  }

  std::uint16_t m_port;
  std::uint32_t m_next = 0;
  io::UdpSocket m_socket = OpenSocket("127.0.0.1:0");
  std::vector<io::OutgoingDatagram> m_outgoing;
  std::atomic<std::uint64_t> m_forwarded{0};
  std::unique_ptr<Worker> m_worker;
};

struct RunResult {
  double m_packets_per_second = 0;
  /// CPU time of the forwarder: that of the process without sources and sink.
  double m_cpu_us_per_packet = 0;
  double m_cpu_share = 0;
  double m_p99_us = 0;
  double m_lost_share = 0;
};

/// Sends the traffic through a forwarder at `rate` packets per second; a rate of 0 offers more than it can forward.
template <typename Forwarder>
RunResult Run(const Traffic& traffic, double rate, milliseconds duration) {
  Sink sink(std::is_same_v<Forwarder, BareForwarder> ? traffic.m_time_offset : traffic.m_received_time_offset);
  sink.m_latencies_us.reserve(4'000'000);
  Forwarder forwarder(sink.Port());
  // Two sources send more than one forwarding thread can forward; a paced run needs only one.
  std::vector<std::unique_ptr<Source>> sources;
  for (std::uint32_t index = 0; index < (rate > 0 ? 1U : 2U); ++index) {
    sources.push_back(std::make_unique<Source>(forwarder.Local(), traffic, index * kFlows / 2, rate));
  }
  forwarder.RefreshContact();
  const double cpu_before_s = ProcessCpuSeconds();
  const auto start = steady_clock::now();
  forwarder.Start();
  Worker sink_worker([&sink] { sink.Step(); });
  std::vector<std::unique_ptr<Worker>> workers;
  for (const auto& source : sources) workers.push_back(std::make_unique<Worker>([&source] { source->Step(); }));
  while (steady_clock::now() < start + duration) {
    std::this_thread::sleep_for(milliseconds(10));
    forwarder.RefreshContact();
  }
  double other_cpu_s = 0;
  for (const auto& worker : workers) other_cpu_s += worker->Stop();
  const double seconds = std::chrono::duration<double>(steady_clock::now() - start).count();
  const auto forwarded = static_cast<double>(forwarder.Forwarded());
  forwarder.Stop();
  other_cpu_s += sink_worker.Stop();
  const double cpu_s = ProcessCpuSeconds() - cpu_before_s - other_cpu_s;
  RunResult result;
  result.m_packets_per_second = forwarded / seconds;
  result.m_cpu_us_per_packet = cpu_s * 1e6 / std::max(forwarded, 1.0);
  result.m_cpu_share = cpu_s / seconds;
  result.m_p99_us = Quantile(sink.m_latencies_us, 0.99);
  result.m_lost_share = rate > 0 ? 1 - static_cast<double>(sink.m_latencies_us.size()) / (rate * seconds) : 0;
  return result;
}

/// The results of the bare forwarder and of the forwarder under test, one for each round.
struct Rounds {
  std::vector<RunResult> m_bare;
  std::vector<RunResult> m_plane;
};

/// The lowest value of all rounds, from the round with the least interference by other load on the machine.
inline double Lowest(const std::vector<RunResult>& results, double RunResult::*field) {
  std::vector<double> values;
  for (const RunResult& result : results) values.push_back(result.*field);
  return Quantile(values, 0);
}

inline double Median(const std::vector<RunResult>& results, double RunResult::*field) {
  std::vector<double> values;
  for (const RunResult& result : results) values.push_back(result.*field);
  return Quantile(values, 0.5);
}

/// Alternates between the two forwarders, so that other load on the machine affects both.
template <typename Forwarder>
Rounds RunAlternating(const Traffic& traffic, double rate, int rounds, milliseconds duration) {
  Rounds results;
  for (int round = 0; round < rounds; ++round) {
    results.m_bare.push_back(Run<BareForwarder>(traffic, rate, duration));
    results.m_plane.push_back(Run<Forwarder>(traffic, rate, duration));
  }
  return results;
}

/// Reports the field for both forwarders, and their ratio with a bound: bare over tested for rates, tested over bare
/// for costs. `summary` reduces the rounds to one value.
inline bool ReportRatio(const std::string& name, const Rounds& rounds, double RunResult::*field, const char* unit,
                        std::optional<double> bound, bool is_rate,
                        double (*summary)(const std::vector<RunResult>&, double RunResult::*) = Median) {
  const double bare = summary(rounds.m_bare, field);
  const double plane = summary(rounds.m_plane, field);
  Report(name, plane, unit, std::nullopt, bare);
  const double ratio = is_rate ? bare / plane : plane / bare;
  return Report(name + (is_rate ? "_bare_over_plane" : "_plane_over_bare"), ratio, "ratio", bound, 1);
}

}  // namespace fighatch::bench

#endif  // FIGHATCH_BENCH_FORWARDING_HARNESS_H_
