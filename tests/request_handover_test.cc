#include <gtest/gtest.h>

#include "request_fakes.h"

namespace fighatch::testing {
namespace {

/// A stopping balancer (host 1) and its successor (host 2), whose clock runs an hour behind.
struct HandoverFixture {
  HandoverFixture() { m_new.m_now = m_old.m_now - std::chrono::hours(1); }

  std::vector<Handover> Stop() {
    std::vector<Handover> parts;
    for (auto& action : All<SendHandover>(m_old.Handle(StopRequested{HostId{2}}))) parts.push_back(action.m_message);
    return parts;
  }
  RequestActions Deliver(const Handover& part) {
    RequestActions actions = m_new.Handle(part);
    for (const auto& ack : All<SendHandoverAck>(actions)) (void)m_old.Handle(ack.m_message);
    return actions;
  }
  void Pass(Duration duration) {
    m_old.m_now += duration;
    m_new.m_now += duration;
  }

  EngineFixture m_old{2, 2, MakeSettings(1)};
  EngineFixture m_new{2, 2, MakeSettings(2)};
};

// Guards against a successor that dispatches for an incarnation before it knows all that has run under it.
TEST(RequestHandoverTest, SuccessorDispatchesOnlyWithAllParts) {
  HandoverFixture pair;
  for (int count = 0; count < 20; ++count) {
    const auto sent = Only<DispatchToTarget>(pair.m_old.Handle(MakeRequest("POST", "/weigh", pair.m_old.NewId())));
    (void)pair.m_old.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "done")});
  }
  const CallerRequest unused = MakeRequest("POST", "/weigh", pair.m_old.NewId());
  const std::vector<Handover> parts = pair.Stop();
  ASSERT_GT(parts.size(), 2U);
  for (std::size_t part = 0; part < parts.size(); ++part) {
    const RequestActions early = pair.m_new.Handle(unused);
    EXPECT_TRUE(All<DispatchToTarget>(early).empty());
    if (part > 0) {
      EXPECT_EQ(Verdict(Only<SendAnswer>(early).m_response), "unknown 5003");
    }
    EXPECT_EQ(All<AnnounceSuccessor>(pair.Deliver(parts[part])).size(), part + 1 == parts.size() ? 1U : 0U);
  }
  EXPECT_TRUE(pair.m_old.m_engine.IsDrained());
  EXPECT_EQ(All<DispatchToTarget>(pair.m_new.Handle(unused)).size(), 1U);
}

// Guards against a planned stop that loses the answer to a request in progress, or runs the request again.
TEST(RequestHandoverTest, RequestInProgressEndsAtTheOldHostAndIsAnsweredByBoth) {
  HandoverFixture pair;
  const CallerRequest request = MakeRequest("POST", "/weigh", pair.m_old.NewId());
  const auto sent = Only<DispatchToTarget>(pair.m_old.Handle(request));
  for (const Handover& part : pair.Stop()) (void)pair.Deliver(part);
  EXPECT_TRUE(pair.m_new.Handle(request).empty() || All<DispatchToTarget>(pair.m_new.Handle(request)).empty());
  EXPECT_FALSE(pair.m_old.m_engine.IsDrained());
  const RequestActions ended = pair.m_old.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "done")});
  EXPECT_EQ(Only<SendAnswer>(ended).m_response.m_body, "done");
  const RequestActions told = pair.Deliver(Only<SendHandover>(ended).m_message);
  EXPECT_EQ(Only<SendAnswer>(told).m_response.m_body, "done");
  EXPECT_TRUE(pair.m_old.m_engine.IsDrained());
  EXPECT_EQ(Only<SendAnswer>(pair.m_new.Handle(request)).m_response.m_body, "done");
}

// Guards against a stopping host that dispatches an id which its successor may dispatch too.
TEST(RequestHandoverTest, StoppingHostForwardsNewRequestsAndIssuesNoIds) {
  HandoverFixture pair;
  const CallerRequest request = MakeRequest("POST", "/weigh", pair.m_old.NewId());
  for (const Handover& part : pair.Stop()) (void)pair.Deliver(part);
  const auto forward = Only<SendForward>(pair.m_old.Handle(request));
  EXPECT_EQ(forward.m_host, HostId{2});
  const auto sent = Only<DispatchToTarget>(pair.m_new.Handle(forward.m_message));
  const auto answer =
      Only<SendForwardedAnswer>(pair.m_new.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "done")}));
  const auto relayed = Only<SendAnswer>(pair.m_old.Handle(answer.m_message)).m_response;
  EXPECT_EQ(relayed.m_body, "done");
  EXPECT_EQ(Field(relayed, "Idempotency-Key"), "");
  (void)pair.m_old.Handle(MemberDied{HostId{2}, Incarnation{1}});
  EXPECT_EQ(Verdict(Only<SendAnswer>(pair.m_old.Handle(request)).m_response), "unknown 5003");
}

// Guards against a successor that takes an old id for a valid one because the clocks of two hosts differ.
TEST(RequestHandoverTest, ValidityFollowsTheIssuersClock) {
  HandoverFixture pair;
  const std::string id = pair.m_old.NewId();
  const std::string late_id = pair.m_old.NewId();
  for (const Handover& part : pair.Stop()) (void)pair.Deliver(part);
  pair.Pass(seconds(29));
  EXPECT_EQ(All<DispatchToTarget>(pair.m_new.Handle(MakeRequest("POST", "/weigh", id))).size(), 1U);
  pair.Pass(seconds(1));
  EXPECT_EQ(Verdict(All<SendAnswer>(pair.m_new.Handle(MakeRequest("POST", "/weigh", late_id))).at(0).m_response),
            "unknown 5003");
}

// Guards against a successor that keeps callers waiting for the end of a request after the old host has died.
TEST(RequestHandoverTest, DeathOfTheOldHostEndsItsRequestsAsUnknown) {
  HandoverFixture pair;
  const CallerRequest request = MakeRequest("POST", "/weigh", pair.m_old.NewId());
  (void)pair.m_old.Handle(request);
  for (const Handover& part : pair.Stop()) (void)pair.Deliver(part);
  (void)pair.m_new.Handle(request);
  const RequestActions actions = pair.m_new.Handle(MemberDied{HostId{1}, Incarnation{1}});
  EXPECT_EQ(Verdict(Only<SendAnswer>(actions).m_response), "unknown 5003");
  EXPECT_EQ(Verdict(Only<SendAnswer>(pair.m_new.Handle(request)).m_response), "unknown 5003");
}

// Guards against a dispatch for an incarnation that the host neither is nor took over, and against forwards to a host
// that has started again.
TEST(RequestHandoverTest, OthersNeverDispatch) {
  EngineFixture issuer(2, 2, MakeSettings(1, 1));
  EngineFixture other(2, 2, MakeSettings(2));
  EngineFixture restarted(2, 2, MakeSettings(1, 2));
  const CallerRequest request = MakeRequest("POST", "/weigh", issuer.NewId());
  const RequestActions actions = other.Handle(request);
  EXPECT_EQ(Only<SendForward>(actions).m_host, HostId{1});
  EXPECT_TRUE(All<DispatchToTarget>(actions).empty());
  EXPECT_EQ(Verdict(Only<SendAnswer>(restarted.Handle(request)).m_response), "unknown 5003");
  (void)other.Handle(MemberAlive{HostId{1}, Incarnation{2}});
  EXPECT_EQ(Verdict(Only<SendAnswer>(other.Handle(request)).m_response), "unknown 5003");
}

// Guards against a restarted balancer that answers "unknown" for ids of its former incarnation, because it missed the
// notice that names the successor.
TEST(RequestHandoverTest, SuccessorTellsAStartedBalancerOfItsDuty) {
  HandoverFixture pair;
  const CallerRequest request = MakeRequest("POST", "/weigh", pair.m_old.NewId());
  for (const Handover& part : pair.Stop()) (void)pair.Deliver(part);
  const RequestActions actions = pair.m_new.Handle(MemberAlive{HostId{1}, Incarnation{2}});
  EngineFixture restarted(2, 2, MakeSettings(1, 2));
  EXPECT_EQ(Verdict(Only<SendAnswer>(restarted.Handle(request)).m_response), "unknown 5003");
  (void)restarted.Handle(Only<AnnounceSuccessor>(actions).m_notice);
  EXPECT_EQ(Only<SendForward>(restarted.Handle(request)).m_host, HostId{2});
}

// Guards against forged or cut handover messages that crash a balancer or pass as whole ones.
TEST(RequestHandoverTest, DecoderSurvivesDamage) {
  HandoverFixture pair;
  (void)pair.m_old.Handle(MakeRequest("POST", "/weigh", pair.m_old.NewId()));
  const Handover part = pair.Stop().at(0);
  const std::vector<std::byte> encoded = EncodeRequestMessage(part);
  EXPECT_EQ(ValueOf(DecodeHandover(encoded)), part);
  for (std::size_t index = 0; index < encoded.size(); ++index) {
    EXPECT_FALSE(IsOk(DecodeHandover(std::span(encoded).first(index))));
    std::vector<std::byte> damaged = encoded;
    damaged[index] = ~damaged[index];
    const Result<Handover> decoded = DecodeHandover(damaged);
    if (IsOk(decoded)) (void)pair.m_new.Handle(ValueOf(decoded));
  }
}

}  // namespace
}  // namespace fighatch::testing
