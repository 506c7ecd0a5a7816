#include "load_run.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <fstream>
#include <iostream>
#include <memory>

#include "fighatch/gue.h"
#include "flow_callers.h"
#include "io/udp_socket.h"
#include "request_callers.h"

namespace fighatch::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longest time after the end of the workload that open flows and requests have to finish.
constexpr milliseconds kDrainTimeout{15000};
constexpr milliseconds kMaxReceiveWait{20};
constexpr milliseconds kStopCheckInterval{100};
constexpr std::size_t kMaxReceivedDatagramBytes = 20000;

// Encapsulates callers' packets in GUE and sends them to the fabric in batches.
class PacketBatch {
 public:
  PacketBatch(io::UdpSocket* socket, const Endpoint& fabric) : m_socket(socket), m_fabric(fabric) {}

  void Add(const std::vector<std::byte>& inner) { m_datagrams.push_back(EncapsulateGue(inner)); }

  void Flush() {
    std::vector<io::OutgoingDatagram> batch;
    for (const auto& datagram : m_datagrams) batch.push_back({m_fabric, datagram});
    m_socket->Send(batch);
    m_datagrams.clear();
  }

 private:
  io::UdpSocket* m_socket;
  Endpoint m_fabric;
  std::vector<std::vector<std::byte>> m_datagrams;
};

// One run of all workloads, on one socket and the calling thread.
class LoadRun {
 public:
  LoadRun(const LoadSettings& settings, io::UdpSocket socket)
      : m_socket(std::move(socket)), m_batch(&m_socket, settings.m_fabric), m_endpoints(settings.m_caller_base) {
    m_start = steady_clock::now();
    m_stop = m_start + settings.m_duration;
    const PacketSink sink = [this](const std::vector<std::byte>& inner) { m_batch.Add(inner); };
    for (const FlowWorkload& workload : settings.m_flows) {
      m_flows.push_back(std::make_unique<FlowCallers>(workload, &m_endpoints, sink, m_start, m_stop));
    }
    std::uint64_t seed = settings.m_seed;
    for (const RequestWorkload& workload : settings.m_requests) {
      m_requests.push_back(std::make_unique<RequestCallers>(workload, &m_endpoints, sink, seed++, m_start, m_stop));
    }
  }

  void Run(daemon::StopSignal* stop) {
    for (auto now = steady_clock::now(); !IsDone() && now < m_stop + kDrainTimeout && !stop->IsSet();
         now = steady_clock::now()) {
      const auto next = Advance(now);
      m_batch.Flush();
      const auto wait_until = std::min(next, now + kMaxReceiveWait);
      for (const io::IncomingDatagram& datagram : m_socket.Receive(wait_until)) Receive(datagram.m_bytes);
      m_batch.Flush();
    }
    const auto now = steady_clock::now();
    for (auto& callers : m_flows) callers->FailUnfinished(now);
    for (auto& callers : m_requests) callers->FailUnfinished(now);
    m_end = now;
  }

  [[nodiscard]] std::vector<const ServiceReport*> Reports() const {
    std::vector<const ServiceReport*> reports;
    for (const auto& callers : m_flows) reports.push_back(&callers->Report());
    for (const auto& callers : m_requests) reports.push_back(&callers->Report());
    return reports;
  }

  [[nodiscard]] std::chrono::nanoseconds Duration() const { return m_end - m_start; }

 private:
  [[nodiscard]] bool IsDone() const {
    const auto is_done = [](const auto& callers) { return callers->IsDone(); };
    return std::all_of(m_flows.begin(), m_flows.end(), is_done) &&
           std::all_of(m_requests.begin(), m_requests.end(), is_done);
  }

  steady_clock::time_point Advance(steady_clock::time_point now) {
    auto next = steady_clock::time_point::max();
    for (auto& callers : m_flows) next = std::min(next, callers->Advance(now));
    for (auto& callers : m_requests) next = std::min(next, callers->Advance(now));
    return next;
  }

  void Receive(std::span<const std::byte> datagram) {
    const Result<GuePacket> outer = DecodeGue(datagram);
    if (!IsOk(outer)) return;
    const Result<InnerPacket> inner = ParseInnerPacket(ValueOf(outer).m_inner);
    if (!IsOk(inner)) return;
    const auto now = steady_clock::now();
    const auto receive = [&](auto& callers) { return callers->Receive(ValueOf(inner), now); };
    if (std::any_of(m_flows.begin(), m_flows.end(), receive)) return;
    (void)std::any_of(m_requests.begin(), m_requests.end(), receive);
  }

  io::UdpSocket m_socket;
  PacketBatch m_batch;
  CallerEndpointAllocator m_endpoints;
  steady_clock::time_point m_start;
  steady_clock::time_point m_stop;
  steady_clock::time_point m_end;
  std::vector<std::unique_ptr<FlowCallers>> m_flows;
  std::vector<std::unique_ptr<RequestCallers>> m_requests;
};

Status WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  return file ? OkStatus() : Status(MakeError(ErrorCode::kStorageIo, path));
}

}  // namespace

Status RunLoad(const LoadSettings& settings, daemon::StopSignal* stop) {
  io::UdpOptions options;
  options.m_datagram_bytes = kMaxReceivedDatagramBytes;
  Result<io::UdpSocket> socket = io::UdpSocket::Bind(settings.m_local, options);
  if (!IsOk(socket)) return ErrorOf(socket);
  LoadRun run(settings, std::move(ValueOf(socket)));
  bool finished = false;
  boost::fibers::fiber watcher([stop, &finished] {
    while (!finished && !stop->Wait(steady_clock::now() + kStopCheckInterval)) {
    }
  });
  run.Run(stop);
  finished = true;
  watcher.join();
  const std::string json = ToJson(run.Reports(), run.Duration());
  if (settings.m_report_file.empty()) {
    std::cout << json << std::endl;
  } else if (Status written = WriteFile(settings.m_report_file, json + "\n"); !IsOk(written)) {
    return written;
  }
  if (settings.m_plot_file.empty()) return OkStatus();
  return WriteFile(settings.m_plot_file, ToSvg(run.Reports()));
}

}  // namespace fighatch::load
