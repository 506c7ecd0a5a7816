// CPU time per request in the engine and memory per journal entry, at three journal sizes. CPU times are compared only
// with each other within one run.
#include <malloc.h>

#include <ctime>

#include "../tests/request_fakes.h"
#include "report.h"

namespace {

using namespace fighatch;           // NOLINT(google-build-using-namespace): program of one file.
using namespace fighatch::testing;  // NOLINT(google-build-using-namespace)

constexpr int kMeasured = 20'000;

double CpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

void RunOne(EngineFixture& fixture, const RequestIdCodec& codec, std::uint64_t counter, bool repeated) {
  const auto issued = static_cast<std::uint64_t>(fixture.m_now.time_since_epoch() / milliseconds(1));
  const std::string id = codec.Format({HostId{1}, Incarnation{1}, issued, counter});
  const CallerRequest request = MakeRequest("POST", "/weigh", id, "{\"animal\":7,\"weight\":412}");
  const auto sent = Only<DispatchToTarget>(fixture.Handle(request));
  (void)fixture.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "{\"record\":1}")});
  if (repeated) (void)fixture.Handle(request);
}

double BytesInUse() { return static_cast<double>(mallinfo2().uordblks); }

}  // namespace

int main() {
  std::optional<double> first_cpu;
  bool pass = true;
  for (const std::uint64_t entries : {1'000U, 10'000U, 100'000U}) {
    const double bytes_before = BytesInUse();
    EngineFixture fixture;
    const RequestIdCodec codec(MakeSettings(1).m_key);
    std::uint64_t counter = 1U << 30U;
    for (std::uint64_t count = 0; count < entries; ++count) RunOne(fixture, codec, counter++, false);
    const double bytes = (BytesInUse() - bytes_before) / static_cast<double>(entries);
    const double start = CpuSeconds();
    for (int count = 0; count < kMeasured; ++count) RunOne(fixture, codec, counter++, false);
    const double cpu = (CpuSeconds() - start) * 1e6 / kMeasured;
    const double resend_start = CpuSeconds();
    for (int count = 0; count < kMeasured; ++count) RunOne(fixture, codec, counter++, true);
    const double resend = (CpuSeconds() - resend_start) * 1e6 / kMeasured - cpu;
    const std::string suffix = "_" + std::to_string(entries);
    bench::Report("request_cpu" + suffix, cpu, "us/request");
    bench::Report("request_resend_cpu" + suffix, resend, "us/resend");
    pass &= bench::Report("request_cpu_growth" + suffix, cpu / first_cpu.value_or(cpu), "ratio to 1000", 2.0);
    pass &= bench::Report("journal_entry" + suffix, bytes, "bytes/entry", 1024);
    if (!first_cpu) first_cpu = cpu;
  }
  return pass ? 0 : 1;
}
