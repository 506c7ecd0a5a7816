#include <gtest/gtest.h>

#include "request_fakes.h"

namespace fighatch::testing {
namespace {

/// A stopping balancer (host 1) and its successor (host 2), whose clock is an hour behind.
struct HandoverFixture {
  HandoverFixture() { m_successor.m_now = m_stopping.m_now - std::chrono::hours(1); }

  std::vector<Handover> Stop() {
    std::vector<Handover> parts;
    for (auto& send : All<SendHandover>(m_stopping.Handle(StopRequested{HostId{2}}))) parts.push_back(send.m_message);
    return parts;
  }
  RequestActions Deliver(const Handover& part) {
    RequestActions actions = m_successor.Handle(part);
    for (const auto& ack : All<SendHandoverAck>(actions)) (void)m_stopping.Handle(ack.m_message);
    return actions;
  }
  void Pass(Duration duration) {
    m_stopping.m_now += duration;
    m_successor.m_now += duration;
  }

  EngineFixture m_stopping{2, 2, MakeSettings(1)};
  EngineFixture m_successor{2, 2, MakeSettings(2)};
};

// Guards against a successor that dispatches for an incarnation before it has received all of its journal entries.
TEST(RequestHandoverTest, SuccessorDispatchesOnlyWithAllParts) {
  HandoverFixture hosts;
  for (int count = 0; count < 20; ++count) {
    const auto sent =
        Only<DispatchToTarget>(hosts.m_stopping.Handle(MakeRequest("POST", "/weigh", hosts.m_stopping.NewId())));
    (void)hosts.m_stopping.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "done")});
  }
  const CallerRequest unused = MakeRequest("POST", "/weigh", hosts.m_stopping.NewId());
  const std::vector<Handover> parts = hosts.Stop();
  ASSERT_GT(parts.size(), 2U);
  for (std::size_t part = 0; part < parts.size(); ++part) {
    const RequestActions early = hosts.m_successor.Handle(unused);
    EXPECT_TRUE(All<DispatchToTarget>(early).empty());
    if (part > 0) {
      EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(early).m_response), "unknown 5003");
    }
    EXPECT_EQ(All<AnnounceSuccessor>(hosts.Deliver(parts[part])).size(), part + 1 == parts.size() ? 1U : 0U);
  }
  EXPECT_TRUE(hosts.m_stopping.m_engine.IsDrained());
  EXPECT_EQ(All<DispatchToTarget>(hosts.m_successor.Handle(unused)).size(), 1U);
}

// Guards against a planned stop that loses the answer to a request in progress, or runs the request a second time.
TEST(RequestHandoverTest, RequestInProgressEndsAtTheOldHostAndIsAnsweredByBoth) {
  HandoverFixture hosts;
  const CallerRequest request = MakeRequest("POST", "/weigh", hosts.m_stopping.NewId());
  const auto sent = Only<DispatchToTarget>(hosts.m_stopping.Handle(request));
  for (const Handover& part : hosts.Stop()) (void)hosts.Deliver(part);
  EXPECT_TRUE(hosts.m_successor.Handle(request).empty() ||
              All<DispatchToTarget>(hosts.m_successor.Handle(request)).empty());
  EXPECT_FALSE(hosts.m_stopping.m_engine.IsDrained());
  const RequestActions ended = hosts.m_stopping.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "done")});
  EXPECT_EQ(Only<SendAnswer>(ended).m_response.m_body, "done");
  const RequestActions notified = hosts.Deliver(Only<SendHandover>(ended).m_message);
  EXPECT_EQ(Only<SendAnswer>(notified).m_response.m_body, "done");
  EXPECT_TRUE(hosts.m_stopping.m_engine.IsDrained());
  EXPECT_EQ(Only<SendAnswer>(hosts.m_successor.Handle(request)).m_response.m_body, "done");
}

// Guards against a stopping host that dispatches a request which its successor may dispatch too.
TEST(RequestHandoverTest, StoppingHostForwardsNewRequestsAndIssuesNoIds) {
  HandoverFixture hosts;
  const CallerRequest request = MakeRequest("POST", "/weigh", hosts.m_stopping.NewId());
  for (const Handover& part : hosts.Stop()) (void)hosts.Deliver(part);
  const auto forward = Only<SendForward>(hosts.m_stopping.Handle(request));
  EXPECT_EQ(forward.m_host, HostId{2});
  const auto sent = Only<DispatchToTarget>(hosts.m_successor.Handle(forward.m_message));
  const auto answer =
      Only<SendForwardedAnswer>(hosts.m_successor.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "done")}));
  const auto relayed = Only<SendAnswer>(hosts.m_stopping.Handle(answer.m_message)).m_response;
  EXPECT_EQ(relayed.m_body, "done");
  EXPECT_EQ(HeaderValue(relayed, "Idempotency-Key"), "");
  (void)hosts.m_stopping.Handle(MemberDied{HostId{2}, Incarnation{1}});
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(hosts.m_stopping.Handle(request)).m_response), "unknown 5003");
}

// Guards against a successor that accepts an expired id because the clocks of the two hosts differ.
TEST(RequestHandoverTest, ValidityUsesTheIssuersClock) {
  HandoverFixture hosts;
  const std::string id = hosts.m_stopping.NewId();
  const std::string late_id = hosts.m_stopping.NewId();
  for (const Handover& part : hosts.Stop()) (void)hosts.Deliver(part);
  hosts.Pass(seconds(29));
  EXPECT_EQ(All<DispatchToTarget>(hosts.m_successor.Handle(MakeRequest("POST", "/weigh", id))).size(), 1U);
  hosts.Pass(seconds(1));
  EXPECT_EQ(OutcomeAndCode(
                All<SendAnswer>(hosts.m_successor.Handle(MakeRequest("POST", "/weigh", late_id))).at(0).m_response),
            "unknown 5003");
}

// Guards against a successor that keeps callers waiting for a request in progress at the old host after that host died.
TEST(RequestHandoverTest, DeathOfTheOldHostEndsItsRequestsAsUnknown) {
  HandoverFixture hosts;
  const CallerRequest request = MakeRequest("POST", "/weigh", hosts.m_stopping.NewId());
  (void)hosts.m_stopping.Handle(request);
  for (const Handover& part : hosts.Stop()) (void)hosts.Deliver(part);
  (void)hosts.m_successor.Handle(request);
  const RequestActions actions = hosts.m_successor.Handle(MemberDied{HostId{1}, Incarnation{1}});
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(actions).m_response), "unknown 5003");
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(hosts.m_successor.Handle(request)).m_response), "unknown 5003");
}

// Guards against a dispatch by a host that does not own the issuer incarnation, and against forwards to a later
// incarnation of the issuer.
TEST(RequestHandoverTest, OnlyTheOwnerDispatches) {
  EngineFixture issuer(2, 2, MakeSettings(1, 1));
  EngineFixture other(2, 2, MakeSettings(2));
  EngineFixture restarted(2, 2, MakeSettings(1, 2));
  const CallerRequest request = MakeRequest("POST", "/weigh", issuer.NewId());
  const RequestActions actions = other.Handle(request);
  EXPECT_EQ(Only<SendForward>(actions).m_host, HostId{1});
  EXPECT_TRUE(All<DispatchToTarget>(actions).empty());
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(restarted.Handle(request)).m_response), "unknown 5003");
  (void)other.Handle(MemberAlive{HostId{1}, Incarnation{2}});
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(other.Handle(request)).m_response), "unknown 5003");
}

// Guards against a restarted balancer that answers "unknown" for ids of its former incarnation, because it missed the
// notice that names the successor.
TEST(RequestHandoverTest, SuccessorAnnouncesOwnershipToARestartedBalancer) {
  HandoverFixture hosts;
  const CallerRequest request = MakeRequest("POST", "/weigh", hosts.m_stopping.NewId());
  for (const Handover& part : hosts.Stop()) (void)hosts.Deliver(part);
  const RequestActions actions = hosts.m_successor.Handle(MemberAlive{HostId{1}, Incarnation{2}});
  EngineFixture restarted(2, 2, MakeSettings(1, 2));
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(restarted.Handle(request)).m_response), "unknown 5003");
  (void)restarted.Handle(Only<AnnounceSuccessor>(actions).m_notice);
  EXPECT_EQ(Only<SendForward>(restarted.Handle(request)).m_host, HostId{2});
}

// Guards against truncated handover messages that decode, and corrupted ones that crash a balancer.
TEST(RequestHandoverTest, DecoderHandlesDamagedMessages) {
  HandoverFixture hosts;
  (void)hosts.m_stopping.Handle(MakeRequest("POST", "/weigh", hosts.m_stopping.NewId()));
  const Handover part = hosts.Stop().at(0);
  const std::vector<std::byte> encoded = EncodeRequestMessage(part);
  EXPECT_EQ(ValueOf(DecodeHandover(encoded)), part);
  for (std::size_t index = 0; index < encoded.size(); ++index) {
    EXPECT_FALSE(IsOk(DecodeHandover(std::span(encoded).first(index))));
    std::vector<std::byte> damaged = encoded;
    damaged[index] = ~damaged[index];
    const Result<Handover> decoded = DecodeHandover(damaged);
    if (IsOk(decoded)) (void)hosts.m_successor.Handle(ValueOf(decoded));
  }
}

}  // namespace
}  // namespace fighatch::testing
