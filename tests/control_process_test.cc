#include <gtest/gtest.h>
#include <signal.h>
#include <sodium.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/fiber/operations.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "daemon/http_authenticator.h"
#include "daemon/operator_key.h"
#include "fighatch/state_delta.h"
#include "io/http_client.h"
#include "io/tcp_stream.h"
#include "io/udp_socket.h"

extern char** environ;

namespace fighatch {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint32_t kHostCount = 3;
const std::string kFolder = std::string(FIGHATCH_BINARY_DIR) + "/control_process_test_data";

// How long a host or a ticket may take until the test fails instead of waiting for ctest to end it.
constexpr milliseconds kWaitLimit{60000};

// Free endpoints of the control hosts. Each host has an address of its own, so that neither another host nor the source
// port of a connection, which has the address 127.0.0.1, can take one of its ports. The sockets stay bound until all
// endpoints are drawn, so that none is drawn twice.
class FreeEndpoints {
 public:
  // An endpoint that is free for TCP and for UDP.
  Endpoint Draw(std::uint32_t host) {
    const std::string address = "127.47.0." + std::to_string(host);
    for (;;) {
      Result<io::TcpListener> listener = io::TcpListener::Listen(ValueOf(ParseEndpoint(address + ":0")));
      m_listeners.push_back(std::move(ValueOf(listener)));
      const Endpoint endpoint = m_listeners.back().Local();
      Result<io::UdpSocket> socket = io::UdpSocket::Bind(endpoint);
      if (!IsOk(socket)) continue;
      m_sockets.push_back(std::move(ValueOf(socket)));
      return endpoint;
    }
  }

 private:
  std::vector<io::TcpListener> m_listeners;
  std::vector<io::UdpSocket> m_sockets;
};

// A child process, which the destructor kills.
class Process {
 public:
  Process(const std::string& program, const std::vector<std::string>& arguments) {
    std::string path = std::string(FIGHATCH_BINARY_DIR) + "/" + program;
    std::vector<std::string> argument_copies = arguments;
    std::vector<char*> argv{path.data()};
    for (std::string& argument : argument_copies) argv.push_back(argument.data());
    argv.push_back(nullptr);
    EXPECT_EQ(posix_spawn(&m_pid, path.c_str(), nullptr, nullptr, argv.data(), environ), 0);
  }
  ~Process() { Signal(SIGKILL), (void)Wait(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const {
    if (m_pid > 0) kill(m_pid, number);
  }
  // True if the process ended without a call of `Wait`.
  [[nodiscard]] bool HasEnded() const {
    siginfo_t info{};
    return m_pid > 0 && waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == m_pid;
  }
  int Wait() {
    int status = 0;
    if (m_pid > 0) waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t m_pid = -1;
};

std::string MakeTicket(std::uint64_t number, int author) {
  return json{{"number", number},
              {"author", "operator-" + std::to_string(author)},
              {"data_centres", {{{"name", "dc" + std::to_string(number)}, {"region", std::to_string(author)}}}}}
      .dump();
}

class ControlProcessTest : public testing::Test {
 protected:
  ControlProcessTest() {
    std::filesystem::remove_all(kFolder);
    std::filesystem::create_directories(kFolder);
    std::ofstream(kFolder + "/operator.key") << std::string(64, '7') << "\n";
    std::ofstream(kFolder + "/cluster.key") << std::string(64, '8') << "\n";
    ChooseEndpoints();
    for (std::uint32_t host = 1; host <= kHostCount; ++host) {
      WriteSettings(host);
      EXPECT_EQ(Process("fighatch-control", {"--config", SettingsPath(host), "--found"}).Wait(), 0);
      Start(host);
    }
  }
  ~ControlProcessTest() override {
    m_processes.clear();
    std::filesystem::remove_all(kFolder);
  }

  void ChooseEndpoints() {
    FreeEndpoints endpoints;
    for (std::uint32_t host = 1; host <= kHostCount; ++host) {
      m_http_endpoints[host] = endpoints.Draw(host);
      m_message_endpoints[host] = endpoints.Draw(host);
    }
  }

  static std::string SettingsPath(std::uint32_t host) { return kFolder + "/control" + std::to_string(host) + ".json"; }
  static std::string DataFolder(std::uint32_t host) { return kFolder + "/data" + std::to_string(host); }

  void WriteSettings(std::uint32_t host) {
    json hosts = json::array();
    for (std::uint32_t id = 1; id <= kHostCount; ++id) {
      hosts.push_back(
          {{"host", id}, {"messages", ToString(m_message_endpoints[id])}, {"http", ToString(m_http_endpoints[id])}});
    }
    std::ofstream(SettingsPath(host)) << json{{"host", host},
                                              {"data_centre", "dc"},
                                              {"data_folder", DataFolder(host)},
                                              {"operator_key_file", kFolder + "/operator.key"},
                                              {"cluster_keys", {{{"id", 1}, {"file", kFolder + "/cluster.key"}}}},
                                              {"snapshot_entries", 32},
                                              {"control_hosts", hosts}};
  }
  void Start(std::uint32_t host) {
    m_processes[host] =
        std::make_unique<Process>("fighatch-control", std::vector<std::string>{"--config", SettingsPath(host)});
  }
  void Kill(std::uint32_t host) { m_processes.erase(host); }

  Result<HttpResponse> Get(std::uint32_t host, const std::string& path) {
    return io::HttpExchange(m_http_endpoints[host], {"GET", path, {}, ""}, steady_clock::now() + milliseconds(3000));
  }
  // A request signed with the cluster key, as a balancer sends it.
  Result<HttpResponse> GetSigned(std::uint32_t host, const std::string& path) {
    HttpRequest request{"GET", path, {}, ""};
    SetHeader(&request.m_headers, daemon::kHttpSignatureHeader, ValueOf(m_authenticator.Sign(path)));
    return io::HttpExchange(m_http_endpoints[host], request, steady_clock::now() + milliseconds(3000));
  }
  json GetJson(std::uint32_t host, const std::string& path) {
    const Result<HttpResponse> response = Get(host, path);
    return IsOk(response) ? json::parse(ValueOf(response).m_body, nullptr, false) : json();
  }
  // Returns the answer of one host to a ticket; null if no answer arrived.
  json Post(std::uint32_t host, const std::string& ticket) {
    const HttpRequest request{"POST", "/v1/tickets", {{"Fighatch-Signature", m_operator_key.Sign(ticket)}}, ticket};
    const Result<HttpResponse> response =
        io::HttpExchange(m_http_endpoints[host], request, steady_clock::now() + milliseconds(4000));
    return IsOk(response) ? json::parse(ValueOf(response).m_body, nullptr, false) : json();
  }
  // Sends a ticket to the hosts in turn until one gives a final answer; null if none did in time.
  json PostUntilFinal(const std::string& ticket) {
    const auto deadline = steady_clock::now() + kWaitLimit;
    for (std::uint32_t attempt = 0; steady_clock::now() < deadline; ++attempt) {
      const json answer = Post(attempt % kHostCount + 1, ticket);
      const int code = answer.is_object() ? answer.value("code", 3010) : 3010;
      if (code != 3009 && code != 3010 && code != 3011) return answer;
      boost::this_fiber::sleep_for(milliseconds(10));
    }
    ADD_FAILURE() << "no host gave a final answer to " << ticket;
    return {};
  }
  // False, and a failure of the test, after the deadline or if a host ended by itself.
  bool MayWait(steady_clock::time_point deadline) {
    for (const auto& [host, process] : m_processes) {
      if (!process->HasEnded()) continue;
      ADD_FAILURE() << "control host " << host << " ended";
      return false;
    }
    if (steady_clock::now() < deadline) return true;
    ADD_FAILURE() << "the hosts took too long";
    return false;
  }
  // Waits until a host reports that it is the leader, and returns that host; the first one if none did.
  std::uint32_t WaitForLeader() {
    const auto deadline = steady_clock::now() + kWaitLimit;
    while (MayWait(deadline)) {
      for (std::uint32_t host = 1; host <= kHostCount; ++host) {
        const json health = GetJson(host, "/v1/health");
        if (health.is_object() && health.value("role", "") == "leader") return host;
      }
      boost::this_fiber::sleep_for(milliseconds(20));
    }
    return 1;
  }
  void WaitUntilReplicasConverge() {
    const auto deadline = steady_clock::now() + kWaitLimit;
    while (MayWait(deadline)) {
      std::set<std::uint64_t> applied;
      for (std::uint32_t host = 1; host <= kHostCount; ++host) {
        const json health = GetJson(host, "/v1/health");
        applied.insert(health.is_object() ? health.value("applied", 0ULL) : host);
        applied.insert(health.is_object() ? health.value("last", 0ULL) : 0);
      }
      if (applied.size() == 1) return;
      boost::this_fiber::sleep_for(milliseconds(20));
    }
  }

  daemon::HttpAuthenticator m_authenticator{[] {
    KeyRing keys;
    const Result<KeyBytes> key = KeyRing::ParseKey(std::string(64, '8'));
    EXPECT_TRUE(IsOk(key) && IsOk(keys.Add(KeyKind::kCluster, 1, ValueOf(key), true)));
    return keys;
  }()};
  std::map<std::uint32_t, Endpoint> m_http_endpoints;
  std::map<std::uint32_t, Endpoint> m_message_endpoints;
  std::map<std::uint32_t, std::unique_ptr<Process>> m_processes;
  daemon::OperatorKey m_operator_key = [] {
    std::filesystem::create_directories(kFolder);
    std::ofstream(kFolder + "/operator.key") << std::string(64, '7') << "\n";
    std::ofstream(kFolder + "/cluster.key") << std::string(64, '8') << "\n";
    return ValueOf(daemon::OperatorKey::Load(kFolder + "/operator.key"));
  }();
};

// Guards against the loss of an accepted ticket, and against two tickets accepted under one number: two clients submit
// different tickets with the same numbers while the hosts are killed and restarted in turn.
TEST_F(ControlProcessTest, KillingHostsLosesNoTicket) {
  constexpr std::uint64_t kTickets = 120;
  std::mutex mutex;
  std::map<std::uint64_t, std::set<std::string>> accepted_digests;
  std::atomic<std::uint64_t> finished = 0;
  const auto submit_tickets = [&](int author) {
    const io::Reactor reactor;
    for (std::uint64_t number = 1; number <= kTickets; ++number) {
      const json answer = PostUntilFinal(MakeTicket(number, author));
      const std::lock_guard<std::mutex> lock(mutex);
      if (answer.value("code", -1) == 0) accepted_digests[number].insert(answer.value("digest", ""));
      ++finished;
    }
  };
  std::thread first_client(submit_tickets, 1);
  std::thread second_client(submit_tickets, 2);
  std::uint32_t killed_host = 0;
  while (finished < 2 * kTickets) {
    killed_host = killed_host % kHostCount + 1;
    Kill(killed_host);
    std::this_thread::sleep_for(milliseconds(150));
    Start(killed_host);
    const std::uint64_t before = finished;
    // The next host is killed only after 12 more answers, so that there is a majority between two kills.
    while (finished < 2 * kTickets && finished < before + 12) std::this_thread::sleep_for(milliseconds(10));
  }
  first_client.join();
  second_client.join();
  const io::Reactor reactor;
  WaitUntilReplicasConverge();
  EXPECT_EQ(accepted_digests.size(), kTickets);
  for (const auto& [number, digests] : accepted_digests) {
    EXPECT_EQ(digests.size(), 1U) << "tickets accepted under number " << number;
    for (std::uint32_t host = 1; host <= kHostCount; ++host) {
      EXPECT_EQ(GetJson(host, "/v1/tickets/" + std::to_string(number)).value("digest", ""), *digests.begin());
    }
  }
}

// Guards against a planned stop of the leader that exits with an error or leaves the group without a leader, and
// against a host that does not rejoin after it has lost its disk.
TEST_F(ControlProcessTest, PlannedStopAndLostDisk) {
  const io::Reactor reactor;
  EXPECT_EQ(PostUntilFinal(MakeTicket(1, 1)).value("code", -1), 0);
  const std::uint32_t leader = WaitForLeader();
  m_processes[leader]->Signal(SIGTERM);
  EXPECT_EQ(m_processes[leader]->Wait(), 0);
  EXPECT_EQ(PostUntilFinal(MakeTicket(2, 1)).value("code", -1), 0);
  std::filesystem::remove_all(DataFolder(leader));
  Start(leader);
  WaitUntilReplicasConverge();
  EXPECT_EQ(GetJson(leader, "/v1/tickets/1").value("accepted", false), true);
  const json hosts = GetJson(WaitForLeader(), "/v1/hosts");
  EXPECT_EQ(hosts["control_hosts"].size(), kHostCount);
}

// Guards against tickets that are accepted without a signature by the operator key, and against refusals without their
// error code.
TEST_F(ControlProcessTest, RefusalsCarryErrorCodes) {
  const io::Reactor reactor;
  const std::uint32_t leader = WaitForLeader();
  const std::string ticket = MakeTicket(1, 1);
  const HttpRequest unsigned_request{"POST", "/v1/tickets", {{"Fighatch-Signature", std::string(64, '0')}}, ticket};
  const auto refused =
      io::HttpExchange(m_http_endpoints[leader], unsigned_request, steady_clock::now() + milliseconds(3000));
  ASSERT_TRUE(IsOk(refused));
  EXPECT_EQ(ValueOf(refused).m_status, 401);
  EXPECT_EQ(FindHeader(ValueOf(refused).m_headers, "Fighatch-Code"), "3007");
  EXPECT_EQ(Post(leader, "{}").value("code", 0), 3001);
  // A path that is not UTF-8 is repeated in the error; it must not end the process.
  const Result<HttpResponse> not_utf8 = Get(leader, "/v1/\xff\xfe");
  ASSERT_TRUE(IsOk(not_utf8));
  EXPECT_EQ(ValueOf(not_utf8).m_status, 404);
  EXPECT_EQ(PostUntilFinal(ticket).value("code", -1), 0);
  EXPECT_EQ(PostUntilFinal(ticket).value("code", -1), 0);
  EXPECT_EQ(PostUntilFinal(MakeTicket(1, 2)).value("code", -1), 3002);
}

// Guards against a version in force that `fighatchctl` does not see after a balancer has reported it, against wrong
// exit codes of `fighatchctl`, and against unsigned requests for deltas that are served.
TEST_F(ControlProcessTest, ToolWaitsUntilInForceAndReportsWhereNot) {
  const io::Reactor reactor;
  std::ofstream(kFolder + "/ticket.json") << MakeTicket(1, 1);
  std::string control;
  for (const auto& [host, endpoint] : m_http_endpoints) control += (control.empty() ? "" : ",") + ToString(endpoint);
  const auto run = [&](std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--key", kFolder + "/operator.key", "--control"});
    arguments.push_back(control);
    return Process("fighatchctl", arguments).Wait();
  };
  EXPECT_EQ(run({"where", "1"}), 5);
  EXPECT_EQ(run({"diff", kFolder + "/ticket.json"}), 6);
  EXPECT_EQ(run({"apply", kFolder + "/ticket.json"}), 0);
  EXPECT_EQ(run({"diff", kFolder + "/ticket.json"}), 0);
  WaitUntilReplicasConverge();
  const std::string path = "/v1/delta?epoch=0&generation=0&host=9";
  // A host without the cluster key must neither read the state nor report versions in force.
  EXPECT_EQ(ValueOf(Get(1, path)).m_status, 401);
  const Result<HttpResponse> delta = GetSigned(1, path);
  ASSERT_TRUE(IsOk(delta));
  const std::string signature(FindHeader(ValueOf(delta).m_headers, daemon::kHttpSignatureHeader).value_or(""));
  EXPECT_TRUE(IsOk(
      m_authenticator.Verify(daemon::HttpAuthenticator::SignedResponseText(path, ValueOf(delta).m_body), signature)));
  EXPECT_FALSE(IsOk(m_authenticator.Verify(
      daemon::HttpAuthenticator::SignedResponseText(path + "1", ValueOf(delta).m_body), signature)));
  EXPECT_EQ(run({"where", "1"}), 4);
  StateDocument state;
  const std::string& body = ValueOf(delta).m_body;
  ASSERT_TRUE(IsOk(ApplyDelta(ValueOf(DecodeDelta(std::as_bytes(std::span(body)))), &state)));
  const std::string in_force = "epoch=" + std::to_string(state.m_version.m_epoch) +
                               "&generation=" + std::to_string(state.m_version.m_generation);
  const Result<HttpResponse> up_to_date_response = GetSigned(1, "/v1/delta?" + in_force + "&host=9");
  ASSERT_TRUE(IsOk(up_to_date_response));
  EXPECT_TRUE(ValueOf(up_to_date_response).m_body.empty());
  EXPECT_EQ(run({"where", "1"}), 0);
  std::ofstream(kFolder + "/ticket.json") << MakeTicket(1, 2);
  EXPECT_EQ(run({"apply", kFolder + "/ticket.json"}), 2);
  EXPECT_EQ(run({"no-such-command"}), 1);
}

// Guards against a check that sends the ticket, whatever it finds, against wrong exit codes of the check, and against
// one that takes an unconfirmed state for the newest.
TEST_F(ControlProcessTest, ToolChecksTicketsWithoutSendingThem) {
  const io::Reactor reactor;
  EXPECT_EQ(PostUntilFinal(MakeTicket(1, 1)).value("code", -1), 0);
  WaitUntilReplicasConverge();
  const json state_before = GetJson(1, "/v1/state");
  const std::uint64_t last_before = GetJson(1, "/v1/health").value("last", 0ULL);
  std::string control;
  for (const auto& [host, endpoint] : m_http_endpoints) control += (control.empty() ? "" : ",") + ToString(endpoint);
  const auto check = [&](const std::string& ticket, const std::vector<std::string>& options = {}) {
    std::ofstream(kFolder + "/ticket.json") << ticket;
    std::vector<std::string> arguments{"check", kFolder + "/ticket.json", "--deadline", "3000", "--control", control};
    arguments.insert(arguments.end(), options.begin(), options.end());
    return Process("fighatchctl", arguments).Wait();
  };
  json mistyped = json::parse(MakeTicket(2, 1));
  mistyped["removed_services"] = json::array({"no-such-service"});
  json unknown = json::parse(MakeTicket(2, 1));
  unknown["services"] = {{{"name", "s"}, {"weights", {{{"data_centre", "nowhere"}, {"weight", 1}}}}}};
  EXPECT_EQ(check(MakeTicket(2, 1)), 0);
  EXPECT_EQ(check(mistyped.dump()), 1);
  EXPECT_EQ(check(unknown.dump()), 2);
  EXPECT_EQ(check(MakeTicket(1, 2)), 2) << "the number is that of another ticket";
  EXPECT_EQ(check(MakeTicket(1, 1)), 0) << "the ticket is in force";
  EXPECT_EQ(check("{}"), 2);
  EXPECT_EQ(GetJson(1, "/v1/state"), state_before);
  EXPECT_EQ(GetJson(1, "/v1/health").value("last", 0ULL), last_before) << "nothing was added to the log";
  Kill(2);
  Kill(3);
  // Once the lease of a former leader has expired, no host can confirm its state.
  std::this_thread::sleep_for(milliseconds(2000));
  EXPECT_EQ(check(MakeTicket(2, 1)), 3);
  EXPECT_EQ(check("{}"), 2);
  EXPECT_EQ(check(MakeTicket(2, 1), {"--offline"}), 0);
}

// Guards against a tool that compares or changes an old state: the only control host that answers was suspended while a
// ticket was accepted, and has not seen it.
TEST_F(ControlProcessTest, ToolRefusesToWorkOnOldState) {
  const io::Reactor reactor;
  EXPECT_EQ(PostUntilFinal(MakeTicket(1, 1)).value("code", -1), 0);
  WaitUntilReplicasConverge();
  const std::uint32_t leader = WaitForLeader();
  const std::uint32_t behind = leader % kHostCount + 1;
  m_processes[behind]->Signal(SIGSTOP);
  EXPECT_EQ(Post(leader, MakeTicket(2, 1)).value("code", -1), 0);
  for (const auto& [host, process] : m_processes) process->Signal(host == behind ? SIGCONT : SIGSTOP);
  std::ofstream(kFolder + "/ticket.json") << MakeTicket(2, 1);
  const auto run = [&](std::vector<std::string> arguments) {
    arguments.insert(arguments.end(), {"--key", kFolder + "/operator.key", "--deadline", "1500", "--control"});
    arguments.push_back(ToString(m_http_endpoints[behind]));
    return Process("fighatchctl", arguments).Wait();
  };
  constexpr int kNoAnswer = 3;
  EXPECT_EQ(run({"diff", kFolder + "/ticket.json"}), kNoAnswer);
  EXPECT_EQ(run({"show"}), kNoAnswer);
  EXPECT_EQ(run({"out", "dc1"}), kNoAnswer);
  EXPECT_EQ(run({"show", "--local"}), 0);
}

}  // namespace
}  // namespace fighatch
