#include "fighatch/request_engine.h"

#include <gtest/gtest.h>

#include "request_fakes.h"

namespace fighatch::testing {
namespace {

// Guards against running a non-idempotent request without an id, which a resend would run a second time.
TEST(RequestEngineTest, PostWithoutIdGetsFreshId) {
  EngineFixture fixture;
  const auto answer = Only<SendAnswer>(fixture.Handle(MakeRequest("POST", "/weigh"))).m_response;
  EXPECT_EQ(answer.m_status, 428);
  EXPECT_EQ(OutcomeAndCode(answer), "not-run 5004");
  EXPECT_TRUE(IsOk(RequestIdCodec(MakeSettings(1).m_key).Parse(HeaderValue(answer, "Idempotency-Key"))));
}

// Guards against a second dispatch for a resend, and against a resend that gets a different answer from the first
// request.
TEST(RequestEngineTest, ResendsGetTheSameAnswerFromOneDispatch) {
  EngineFixture fixture;
  const CallerRequest request = MakeRequest("POST", "/weigh", fixture.NewId(), "cow 7");
  const auto sent = Only<DispatchToTarget>(fixture.Handle(request));
  CallerRequest other_port = request;
  other_port.m_caller.m_port = 4001;
  EXPECT_TRUE(All<DispatchToTarget>(fixture.Handle(other_port)).empty());
  const auto both = All<SendAnswer>(fixture.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "r1")}));
  ASSERT_EQ(both.size(), 2U);
  fixture.m_now += seconds(59);
  const auto later = Only<SendAnswer>(fixture.Handle(request)).m_response;
  EXPECT_EQ(later.m_status, 201);
  EXPECT_EQ(later.m_body, "r1");
  EXPECT_EQ(OutcomeAndCode(later), "answered 0");
  fixture.m_now += seconds(2);
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(fixture.Handle(request)).m_response), "unknown 5003");
  EXPECT_EQ(fixture.m_engine.JournalEntries(), 0U);
}

// Guards against a request with a reused id but different content getting the answer to the first request.
TEST(RequestEngineTest, OtherContentUnderOneIdIsRefused) {
  EngineFixture fixture;
  const std::string id = fixture.NewId();
  const auto sent = Only<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", id, "cow 7")));
  (void)fixture.Handle(TargetResponded{sent.m_exchange, MakeResponse(201, "r1")});
  const auto answer = Only<SendAnswer>(fixture.Handle(MakeRequest("POST", "/weigh", id, "cow 8"))).m_response;
  EXPECT_EQ(OutcomeAndCode(answer), "not-run 5005");
}

// Guards against dispatching a request with an id after a caller was told that it was not run.
TEST(RequestEngineTest, RefusedIdIsNeverDispatched) {
  EngineFixture fixture(1, 0);
  CallerRequest request = MakeRequest("POST", "/weigh", fixture.NewId());
  (void)fixture.Handle(request);
  const auto refused = Only<SendAnswer>(fixture.Advance(seconds(2))).m_response;
  EXPECT_EQ(OutcomeAndCode(refused), "not-run 5002");
  fixture.m_allowance.m_limits[TargetId{1}] = 2;
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(fixture.Handle(request)).m_response), "not-run 5002");
}

// Guards against a retry or "not run" after bytes of a non-idempotent request were written.
TEST(RequestEngineTest, LostConnectionOfNonIdempotentIsUnknown) {
  EngineFixture fixture;
  fixture.FillRetryBudget(2);
  const auto sent = Only<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", fixture.NewId())));
  const RequestActions actions = fixture.Handle(TargetFailed{sent.m_exchange, TargetFailure::kLost});
  EXPECT_TRUE(All<DispatchToTarget>(actions).empty());
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(actions).m_response), "unknown 5003");
}

// Guards against no retry, or a retry on the same target, after a target has proved that it did not run the request.
TEST(RequestEngineTest, ProofOfNotRunIsRetriedElsewhereWithinTheBudget) {
  EngineFixture fixture;
  const HttpHeaders retry_after = {{"Retry-After", "1"}};
  const std::string first_id = fixture.NewId();
  const auto first = Only<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", first_id)));
  const auto denied = fixture.Handle(TargetResponded{first.m_exchange, MakeResponse(503, "", retry_after)});
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(denied).m_response), "not-run 5011") << "the retry budget starts empty";
  fixture.FillRetryBudget(1);
  const auto sent = Only<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", fixture.NewId())));
  const auto again =
      Only<DispatchToTarget>(fixture.Handle(TargetResponded{sent.m_exchange, MakeResponse(503, "", retry_after)}));
  EXPECT_NE(again.m_target, sent.m_target);
  const auto done = fixture.Handle(TargetResponded{again.m_exchange, MakeResponse(201, "ok")});
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(done).m_response), "answered 0");
  EXPECT_EQ(fixture.m_engine.Statistics().m_retries, 1U);
}

// Guards against late, duplicated and mismatched responses being used for a request that they do not belong to.
TEST(RequestEngineTest, LateDuplicatedAndMismatchedResponsesAreDropped) {
  EngineFixture fixture;
  const auto first = Only<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", fixture.NewId(), "a")));
  const auto second = Only<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", fixture.NewId(), "b")));
  const std::string first_id(*FindHeader(first.m_request.m_headers, "Idempotency-Key"));
  const HttpResponse mismatched = MakeResponse(201, "a", {{"Idempotency-Key", first_id}});
  const RequestActions actions = fixture.Handle(TargetResponded{second.m_exchange, mismatched});
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(actions).m_response), "unknown 5003");
  EXPECT_EQ(Only<CancelAtTarget>(actions).m_exchange, second.m_exchange);
  EXPECT_EQ(All<SendAnswer>(fixture.Handle(TargetResponded{first.m_exchange, mismatched})).size(), 1U);
  EXPECT_TRUE(All<SendAnswer>(fixture.Handle(TargetResponded{first.m_exchange, mismatched})).empty());
  EXPECT_TRUE(All<SendAnswer>(fixture.Handle(TargetResponded{second.m_exchange, mismatched})).empty());
  EXPECT_EQ(fixture.m_allowance.InUse(), 0U);
}

// Guards against truncated answers: a response that does not fit in a datagram is replaced by an answer without a body.
TEST(RequestEngineTest, LargeAnswerIsReportedNotTruncated) {
  EngineFixture fixture;
  for (const std::size_t bytes : {15'000U, 16'384U}) {
    const auto sent = Only<DispatchToTarget>(fixture.Handle(MakeRequest("GET", "/")));
    const auto answer =
        Only<SendAnswer>(fixture.Handle(TargetResponded{sent.m_exchange, MakeResponse(200, std::string(bytes, 'x'))}));
    EXPECT_EQ(OutcomeAndCode(answer.m_response), bytes < 16'000 ? "answered 0" : "answered 5008");
    EXPECT_EQ(answer.m_response.m_body.size(), bytes < 16'000 ? bytes : 0);
    EXPECT_LE(ToString(answer.m_response).size(), 16'384U);
  }
}

// Guards against targets working on cancelled requests, and against a late datagram starting a cancelled request.
TEST(RequestEngineTest, DeleteCancelsInEveryState) {
  EngineFixture fixture(1, 1);
  const std::string running = fixture.NewId();
  const std::string queued = fixture.NewId();
  const std::string early = fixture.NewId();
  const auto sent = Only<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", running)));
  EXPECT_TRUE(All<DispatchToTarget>(fixture.Handle(MakeRequest("POST", "/weigh", queued))).empty());
  const auto cancel = [&fixture](const std::string& id) {
    return fixture.Handle(MakeRequest("DELETE", "/.well-known/fighatch/request/" + id));
  };
  EXPECT_EQ(OutcomeAndCode(All<SendAnswer>(cancel(queued)).at(1).m_response), "not-run 5010");
  const RequestActions stopped = cancel(running);
  EXPECT_EQ(Only<CancelAtTarget>(stopped).m_exchange, sent.m_exchange);
  EXPECT_EQ(OutcomeAndCode(All<SendAnswer>(stopped).at(1).m_response), "unknown 5010");
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(cancel(early)).m_response), "not-run 5010");
  EXPECT_EQ(OutcomeAndCode(Only<SendAnswer>(fixture.Handle(MakeRequest("POST", "/weigh", early))).m_response),
            "not-run 5010");
  EXPECT_EQ(fixture.m_allowance.InUse(), 0U);
}

// Guards against admitting requests that would expire in the queue.
TEST(RequestEngineTest, RefusesEarlyWhenTheWaitExceedsTheTimeLeft) {
  EngineFixture fixture(1, 1);
  const auto first = Only<DispatchToTarget>(fixture.Handle(MakeRequest("GET", "/")));
  fixture.m_now += milliseconds(100);
  (void)fixture.Handle(TargetResponded{first.m_exchange, MakeResponse(200, "")});
  std::size_t refused = 0;
  for (int count = 0; count < 40; ++count) {
    CallerRequest request = MakeRequest("GET", "/");
    request.m_caller.m_port = static_cast<std::uint16_t>(5000 + count);
    for (const SendAnswer& answer : All<SendAnswer>(fixture.Handle(request))) {
      EXPECT_EQ(OutcomeAndCode(answer.m_response), "not-run 5001");
      ++refused;
    }
  }
  // With a timeout of 2 s and 100 ms per request, one request runs and 19 wait; the last one has 200 ms left to run.
  EXPECT_EQ(refused, 40U - 1U - 19U);
}

// Guards against callers getting no answer to a datagram that does not parse or is too large.
TEST(RequestEngineTest, MalformedDatagramsAreRefused) {
  EngineFixture fixture;
  const auto verdict = [&fixture](std::string text) {
    const Result<HttpRequest> parsed = ParseRequestDatagram(std::as_bytes(std::span(text)));
    if (IsOk(parsed)) return std::string("parsed");
    return OutcomeAndCode(
        Only<SendAnswer>(fixture.Handle(MalformedDatagram{{}, {}, ErrorOf(parsed).m_code})).m_response);
  };
  const std::string whole = ToString(MakeRequest("POST", "/weigh", {}, "cow 7").m_request);
  EXPECT_EQ(verdict(whole), "parsed");
  EXPECT_EQ(verdict(whole.substr(0, whole.size() - 1)), "not-run 5006");
  EXPECT_EQ(verdict(whole + "x"), "not-run 5006");
  EXPECT_EQ(verdict(ToString(MakeRequest("POST", "/", {}, std::string(17'000, 'x')).m_request)), "not-run 5007");
}

// Guards against a request with an early deadline waiting behind requests with later ones.
TEST(RequestEngineTest, QueueServesTheEarliestDeadlineFirst) {
  EngineFixture fixture(1, 1);
  const auto first = Only<DispatchToTarget>(fixture.Handle(MakeRequest("GET", "/running")));
  (void)fixture.Handle(MakeRequest("GET", "/patient"));
  CallerRequest urgent = MakeRequest("GET", "/urgent");
  urgent.m_request.m_headers.push_back({"Request-Timeout", "500"});
  (void)fixture.Handle(urgent);
  const auto next = fixture.Handle(TargetResponded{first.m_exchange, MakeResponse(200, "")});
  EXPECT_EQ(Only<DispatchToTarget>(next).m_request.m_path, "/urgent");
}

}  // namespace
}  // namespace fighatch::testing
