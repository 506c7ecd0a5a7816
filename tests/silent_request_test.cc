#include <gtest/gtest.h>

#include "request_fakes.h"

namespace fighatch::testing {
namespace {

// Guards against a non-idempotent request that holds its token and caller forever when the target does not respond.
TEST(SilentRequestTest, SilentPathEndsAtTheDeadlineAsUnknown) {
  EngineFixture fixture(1, 1);
  const auto sent = Only<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", fixture.NewId())));
  EXPECT_TRUE(All<SendAnswer>(fixture.Advance(milliseconds(1999))).empty());
  const RequestActions actions = fixture.Advance(milliseconds(1));
  EXPECT_EQ(Only<CancelAtTarget>(actions).m_exchange, sent.m_exchange);
  EXPECT_EQ(Only<ReportExchange>(actions).m_result, ExchangeResult::kTimedOut);
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(actions).m_response), "unknown 5003");
  EXPECT_EQ(fixture.m_allowance.InUse(), 0U);
  EXPECT_EQ(fixture.m_engine.ExchangesInProgress(), 0U);
}

// Guards against an idempotent request that waits until its deadline for an unresponsive target while others are
// available.
TEST(SilentRequestTest, IdempotentRequestIsRetriedOnAnotherTarget) {
  EngineFixture fixture;
  fixture.FillRetryBudget(1);
  const auto sent = Only<DispatchToTarget>(fixture.Handle(MakeRequest("GET", "/")));
  const RequestActions actions = fixture.Advance(milliseconds(200));
  EXPECT_EQ(Only<CancelAtTarget>(actions).m_exchange, sent.m_exchange);
  const auto again = Only<DispatchToTarget>(actions);
  EXPECT_NE(again.m_target, sent.m_target);
  const auto done = fixture.Handle(TargetResponded{again.m_exchange, MakeResponse(200, "ok")});
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(done).m_response), "answered 0");
}

// Guards against cancelling an attempt early when the retry budget does not allow a retry.
TEST(SilentRequestTest, WithoutBudgetTheRequestWaitsForItsDeadline) {
  EngineFixture fixture;
  (void)fixture.Handle(MakeRequest("GET", "/"));
  EXPECT_TRUE(All<CancelAtTarget>(fixture.Advance(milliseconds(200))).empty());
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(fixture.Advance(milliseconds(1800))).m_response), "unknown 5003");
}

// Guards against an unresponsive target that keeps getting requests.
TEST(SilentRequestTest, SilentTargetIsEjectedAndRetried) {
  EngineFixture fixture(2, 10);
  const TargetId silent{1};
  const auto serve = [&](int requests) {
    int to_silent = 0;
    for (int count = 0; count < requests; ++count) {
      for (const auto& sent : All<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", fixture.NewId())))) {
        if (sent.m_target == silent) {
          ++to_silent;
        } else {
          (void)fixture.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "")});
        }
      }
    }
    return to_silent;
  };
  EXPECT_GT(serve(20), 0);
  for (int failures = 1; failures < 3; ++failures) {
    (void)fixture.Advance(seconds(2));
    (void)serve(20);
  }
  (void)fixture.Advance(seconds(2));
  EXPECT_EQ(serve(20), 0) << "ejected";
  (void)fixture.Advance(milliseconds(1001));
  EXPECT_GT(serve(20), 0) << "used again after the ejection";
}

// Guards against short request timeouts making a healthy target look unresponsive.
TEST(SilentRequestTest, ShortTimeoutsDoNotEjectATarget) {
  EngineFixture fixture(1, 10);
  CallerRequest short_timeout = MakeRequest("GET", "/");
  short_timeout.m_request.m_headers.push_back({"Request-Timeout", "5"});
  for (int count = 0; count < 5; ++count) {
    (void)fixture.Handle(short_timeout);
    (void)fixture.Advance(milliseconds(5));
  }
  fixture.m_allowance.m_limits[TargetId{2}] = 10;
  (void)fixture.Handle(TargetsChanged{kService, {MakeTarget(1), MakeTarget(2)}});
  bool used = false;
  for (int count = 0; count < 4; ++count) {
    const auto sent = Only<DispatchToTarget>(fixture.Handle(MakeRequest("GET", "/")));
    used = used || sent.m_target == TargetId{1};
  }
  EXPECT_TRUE(used);
}

// Guards against a forwarded request that waits forever when the issuer does not respond.
TEST(SilentRequestTest, SilentIssuerEndsAsUnknown) {
  EngineFixture issuer(1, 1, MakeSettings(2));
  EngineFixture fixture;
  const auto forward = Only<SendForward>(fixture.Handle(MakeRequest("POST", "/weigh", issuer.NewId())));
  const RequestActions actions = fixture.Advance(milliseconds(2050));
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(actions).m_response), "unknown 5003");
  ForwardedAnswer late{HostId{1}, Incarnation{1}, forward.m_message.m_forward_id, {}};
  EXPECT_TRUE(All<SendAnswer>(fixture.Handle(late)).empty());
  EXPECT_EQ(fixture.m_engine.CallsInProgress(), 0U);
}

}  // namespace
}  // namespace fighatch::testing
