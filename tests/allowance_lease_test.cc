#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "allowance_model.h"
#include "wire/codec.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint32_t TokensOf(const AllowanceModel& model, HostId id) {
  std::uint32_t tokens = 0;
  const AllowanceModel::Host& host = model.m_hosts.at(id);
  const TimePoint clock(model.m_now * host.m_speed / 100 + std::chrono::hours(id.m_value));
  for (const AllowanceModel::Target& target : model.m_targets)
    tokens += host.m_holder->Available(target.m_info.m_id, clock) +
              static_cast<std::uint32_t>(host.m_in_progress.count(Duration{}));
  return tokens;
}

// Guards against tokens that nobody can use: with every host alive, all of them are granted.
TEST(AllowanceLeaseTest, HandsOutEveryTokenWhenIdle) {
  AllowanceModel model(3, {2, 4, 6}, 1);
  model.Run(seconds(5));
  EXPECT_EQ(TokensOf(model, {1}) + TokensOf(model, {2}) + TokensOf(model, {3}), 12U);
}

// Guards against tokens that stay with idle balancers while a busy one waits: they move within about one renewal.
TEST(AllowanceLeaseTest, TokensReachTheBusyHost) {
  AllowanceModel model(4, {4, 4}, 2);
  model.m_longest_request = seconds(9);
  model.Run(seconds(5));
  model.m_hosts[HostId{3}].m_waiting = 100;
  model.Run(milliseconds(1300));
  EXPECT_GE(model.m_hosts[HostId{3}].m_in_progress.size(), 8U);
}

// Guards against a dead coordinator stopping the others: its successor renews the tokens that they hold.
TEST(AllowanceLeaseTest, HeldTokensSurviveCoordinatorFailure) {
  AllowanceModel model(5, {10, 10, 10}, 3);
  model.Run(seconds(5));
  model.Kill(HostId{1});
  model.Run(seconds(4));
  std::uint32_t tokens = 0;
  for (std::uint32_t id = 2; id <= 5; ++id) tokens += TokensOf(model, {id});
  EXPECT_GE(tokens, 30U * 4 / 5 * 3 / 5);
  model.Run(seconds(30));
  tokens = 0;
  for (std::uint32_t id = 2; id <= 5; ++id) tokens += TokensOf(model, {id});
  EXPECT_EQ(tokens, 30U);
}

// Guards against an overflow found by fuzzing: a holder that echoes a time far in the future is answered, but is not
// counted as a follower.
TEST(AllowanceLeaseTest, IgnoresEchoedTimeInTheFuture) {
  const TimePoint start{seconds(100)};
  AllowanceGrantor grantor(HostId{1}, 1, {{HostId{1}}, {HostId{2}}}, 0, 7, start);
  LeaseRequest request;
  request.m_holder = HostId{2};
  request.m_grantor = HostId{1};
  request.m_epoch = 1;
  request.m_sequence = 2;
  request.m_applied_sequence = 1;
  // In nanoseconds this wraps to 99.9 s, a time that would count.
  request.m_echoed_time_ms = (1ULL << 58U) + 99'900;
  ASSERT_TRUE(grantor.OnRequest(request, start));
  EXPECT_EQ(grantor.FollowingMemberCount(start), 0U);
  request.m_sequence = 3;
  request.m_echoed_time_ms = 100'000;
  ASSERT_TRUE(grantor.OnRequest(request, start));
  EXPECT_EQ(grantor.FollowingMemberCount(start), 1U);
}

// Guards against a minority that goes on granting: it stops, and the majority uses its share of k/n of the tokens.
TEST(AllowanceLeaseTest, MinorityStops) {
  AllowanceModel model(5, {10, 10}, 4);
  model.Run(seconds(5));
  model.Cut({{1}, {2}}, {{3}, {4}, {5}});
  model.Cut({{3}, {4}, {5}}, {{1}, {2}});
  model.Run(seconds(8));
  EXPECT_EQ(TokensOf(model, {1}) + TokensOf(model, {2}), 0U);
  EXPECT_GT(TokensOf(model, {3}) + TokensOf(model, {4}) + TokensOf(model, {5}), 0U);
}

// Guards against a lease term that counts from the arrival of the grant, against late grants and against grants of a
// former coordinator.
TEST(AllowanceLeaseTest, LeaseTermCountsFromRequestTime) {
  const TimePoint start{seconds(50)};
  AllowanceHolder holder(HostId{2}, Incarnation{1});
  holder.Follow(HostId{1}, start);
  LeaseGrant grant{.m_grantor = {1},
                   .m_epoch = 3,
                   .m_holder = {2},
                   .m_incarnation = {1},
                   .m_decided = true,
                   .m_grants = {{TargetId{9}, Incarnation{1}, {0}}}};
  grant.m_sequence = holder.Poll(start)->m_sequence;
  holder.OnGrant(grant, start);
  EXPECT_EQ(holder.Available(TargetId{9}, start), 0U) << "the first answer only tells the epoch";
  grant.m_sequence = holder.Poll(start + milliseconds(100))->m_sequence;
  holder.OnGrant(grant, start + milliseconds(900));
  EXPECT_EQ(holder.Available(TargetId{9}, start + milliseconds(1099)), 1U);
  EXPECT_EQ(holder.Available(TargetId{9}, start + milliseconds(1100)), 0U);
  const std::uint64_t late = holder.Poll(start + milliseconds(1200))->m_sequence;
  holder.Follow(HostId{4}, start + milliseconds(1300));
  grant.m_sequence = late;
  holder.OnGrant(grant, start + milliseconds(1300));
  EXPECT_EQ(holder.Available(TargetId{9}, start + milliseconds(1300)), 0U);
}

// Guards against tokens that were granted for a warm process being used on its cold successor.
TEST(AllowanceLeaseTest, TokensOfAnotherIncarnationAreNotUsed) {
  AllowanceModel model(1, {4}, 5);
  model.Run(seconds(5));
  ASSERT_EQ(TokensOf(model, {1}), 4U);
  model.m_hosts[HostId{1}].m_holder->OnTargetIncarnation(TargetId{1000}, Incarnation{2});
  EXPECT_EQ(TokensOf(model, {1}), 0U);
}

// Guards against messages that lose fields, and against forged sizes.
TEST(AllowanceLeaseTest, MessagesRoundTripThroughTheCodec) {
  AllowanceHolder holder(HostId{300}, Incarnation{1ULL << 40U});
  holder.Follow(HostId{1}, TimePoint{});
  holder.ReportDemand(ServiceId{1}, 70'000, TimePoint{});
  holder.OnOutcome(TargetId{~0ULL}, milliseconds(12), false);
  holder.SetMembers(5, {HostId{9}});
  const LeaseRequest request = *holder.Poll(TimePoint{});
  const std::vector<std::byte> bytes = wire::Encode(request);
  EXPECT_EQ(wire::Decode<LeaseRequest>(bytes), Result<LeaseRequest>(request));
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(IsOk(wire::Decode<LeaseRequest>(std::span(bytes).first(size))));
}

struct Fault {
  int m_kind = 0;
  std::uint32_t m_host = 1;
  std::uint32_t m_size = 0;
};

void Inject(AllowanceModel* model, const Fault& fault) {
  const auto hosts = static_cast<std::uint32_t>(model->m_hosts.size());
  std::set<HostId> left;
  std::set<HostId> right;
  for (std::uint32_t id = 1; id <= hosts; ++id) (id <= 1 + fault.m_size % (hosts - 1) ? left : right).insert({id});
  const HostId host{1 + fault.m_host % hosts};
  switch (fault.m_kind) {
    case 0:
      return model->Kill(host);
    case 1:
      return model->Restart(host);
    case 2:
      return model->Cut(left, right);
    case 3:
      model->Cut(left, right);
      return model->Cut(right, left);
    case 4:
      model->m_loss_percent = fault.m_size % 40;
      return;
    case 5:
      model->m_duplicate_percent = fault.m_size % 60;
      return;
    case 6:
      model->m_longest_delay = milliseconds(20 * (fault.m_size % 100));
      return;
    case 7:
      return model->SetAllowance(fault.m_host % model->m_targets.size(), fault.m_size % 3);
    case 8:
      return model->Restart(HostId{1});
    default:
      return model->Heal();
  }
}

void RunBusy(AllowanceModel* model, Duration span) {
  for (int step = 0; step < 10; ++step) {
    for (auto& [id, host] : model->m_hosts) host.m_waiting = 20;
    model->Run(span / 10);
  }
}

// Regression: a coordinator that had lost its majority still relied on earlier reports of its members, and granted
// tokens that the other side was using when it regained a majority.
TEST(AllowanceLeaseRegression, RegainedMajorityResetsTheGrantor) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    AllowanceModel model(7, {2, 2, 5}, seed);
    model.m_longest_request = seconds(10);
    Inject(&model, {.m_kind = 3, .m_host = 0, .m_size = 2});
    RunBusy(&model, seconds(24));
    // Host 4 changes sides, so that the former minority has a majority; hosts 5 to 7 still use the tokens they were
    // granted.
    Inject(&model, {.m_kind = 9});
    Inject(&model, {.m_kind = 3, .m_host = 0, .m_size = 3});
    RunBusy(&model, seconds(5));
    EXPECT_EQ(model.m_worst_excess, 0U) << seed;
  }
}

// Regression: a list of members that had shrunk on one side of a partition gave both sides a majority.
TEST(AllowanceLeaseRegression, RemovedMembersCountForTheMajority) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    AllowanceModel model(5, {2, 2, 5}, seed);
    model.m_longest_request = seconds(10);
    Inject(&model, {.m_kind = 3, .m_host = 0, .m_size = 2});
    RunBusy(&model, seconds(12));
    Inject(&model, {.m_kind = 9});
    Inject(&model, {.m_kind = 3, .m_host = 0, .m_size = 1});
    RunBusy(&model, seconds(25));
    EXPECT_EQ(model.m_worst_excess, 0U) << seed;
  }
}

// Regression: a new coordinator did not wait for reports of members that it had removed, and granted tokens that they
// were still using.
TEST(AllowanceLeaseRegression, TokensOfARemovedMemberStayReserved) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    AllowanceModel model(6, {2, 2, 5}, seed);
    model.m_longest_request = seconds(10);
    Inject(&model, {.m_kind = 0, .m_host = 1});
    RunBusy(&model, seconds(5));
    Inject(&model, {.m_kind = 2, .m_host = 0, .m_size = 0});
    RunBusy(&model, seconds(11));
    Inject(&model, {.m_kind = 1, .m_host = 1});
    Inject(&model, {.m_kind = 9});
    RunBusy(&model, seconds(5));
    EXPECT_EQ(model.m_worst_excess, 0U) << seed;
  }
}

// RapidCheck scales ranges with the size of a case. The nominal size is used because small cases have hardly any
// faults.
template <typename T>
T Pick(T low, T high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

// Guards P3: under any two simultaneous faults, the requests in progress at a target never exceed its allowance.
RC_GTEST_PROP(AllowanceLeaseProperty, SumNeverExceedsTheAllowance, ()) {
  AllowanceModel model(Pick<std::uint32_t>(2, 8), {2, 2, 5}, Pick<std::uint64_t>(0, 1ULL << 40U));
  model.m_longest_request = Pick(0, 2) == 0 ? Duration(seconds(10)) : Duration(milliseconds(400));
  const int rounds = Pick(1, 8);
  for (int round = 0; round < rounds; ++round) {
    for (int fault = 0; fault < 2; ++fault)
      Inject(&model, {Pick(0, 12), Pick<std::uint32_t>(0, 16), Pick<std::uint32_t>(0, 256)});
    for (auto& [id, host] : model.m_hosts) host.m_waiting = Pick<std::uint32_t>(0, 4) * 20;
    model.Run(milliseconds(Pick(100, 25'000)));
    RC_ASSERT(model.m_worst_excess == 0U);
  }
}

}  // namespace
}  // namespace fighatch
