#include <gtest/gtest.h>
#include <sodium.h>

#include "fighatch/announcement.h"
#include "fighatch/target_registry.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetKey kKey = {1, 2, 3};
const TimePoint kStart{seconds(100)};

StateDocument MakeState() {
  StateDocument state;
  state.m_data_centres["north"].m_id = {1};
  state.m_data_centres["south"].m_id = {2};
  for (const std::uint32_t id : {1U, 2U}) {
    Service service;
    service.m_name = "s" + std::to_string(id);
    service.m_id = {id};
    service.m_admission = {{std::get<0>(ParseCidr("10.1.0.0/16")), "north"}};
    state.m_services[service.m_name] = service;
  }
  return state;
}

Announcement MakeAnnouncement(std::uint64_t sequence) {
  Announcement announcement;
  announcement.m_service = "s1";
  announcement.m_data_centre = "north";
  announcement.m_gue_endpoint = std::get<0>(ParseEndpoint("10.1.0.9:6080"));
  announcement.m_http_endpoint = std::get<0>(ParseEndpoint("10.1.0.9:8080"));
  announcement.m_slots = 2;
  announcement.m_connections = 2000;
  announcement.m_incarnation = {4};
  announcement.m_state = TargetState::kServing;
  announcement.m_sequence = sequence;
  return announcement;
}

class TargetRegistryTest : public testing::Test {
 protected:
  ErrorCode Announce(const Announcement& announcement, TimePoint now) {
    const std::string body = ToJson(announcement);
    const Result<TargetId> result =
        m_registry.Announce(body, SignAnnouncement(body, kKey), std::span(&kKey, 1), m_state, now);
    return IsOk(result) ? ErrorCode::kOk : ErrorOf(result).m_code;
  }

  StateDocument m_state = MakeState();
  TargetRegistry m_registry{DataCentreId{1}};
  TargetId m_id = TargetIdOf("s1", std::get<0>(ParseEndpoint("10.1.0.9:8080")));
};

// Guards against fields that are lost between the JSON form and the announcement, and against lax parsing.
TEST(TargetAnnouncementTest, RoundTripsAndRejectsMalformedBodies) {
  const Announcement announcement = MakeAnnouncement(17);
  const std::string body = ToJson(announcement);
  ASSERT_EQ(ParseAnnouncement(body), Result<Announcement>(announcement));
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"slots\":2", "\"slots\":0"},
           {"\"slots\":2", "\"slots\":\"2\""},
           {"\"slots\":2", "\"slots\":2,\"extra\":1"},
           {"\"slots\":2", "\"slots\":2,\"slots\":2"},
           {"\"slots\":2", "\"slots\":-1"},
           {"\"state\":\"serving\"", "\"state\":\"suspect\""},
           {"\"sequence\":17", "\"sequence\":1e99"},
           {"\"service\":\"s1\"", "\"service\":\"\""},
           {"10.1.0.9:8080", "10.1.0.9"},
       }) {
    std::string bad = body;
    bad.replace(bad.find(from), from.size(), to);
    const Result<Announcement> parsed = ParseAnnouncement(bad);
    ASSERT_FALSE(IsOk(parsed)) << bad;
    EXPECT_EQ(ErrorOf(parsed).m_code, ErrorCode::kAnnouncementMalformed);
  }
  EXPECT_EQ(ErrorOf(ParseAnnouncement(std::string(5000, ' '))).m_code, ErrorCode::kAnnouncementOversized);
}

// Guards against announcements without the key, and against a key that is no longer accepted.
TEST(TargetAnnouncementTest, RefusesForgedSignatures) {
  const std::string body = ToJson(MakeAnnouncement(1));
  const std::string signature = SignAnnouncement(body, kKey);
  const std::vector<TargetKey> keys = {TargetKey{9}, kKey};
  EXPECT_TRUE(IsOk(VerifyAnnouncement(body, signature, keys)));
  EXPECT_FALSE(IsOk(VerifyAnnouncement(body + " ", signature, keys)));
  EXPECT_FALSE(IsOk(VerifyAnnouncement(body, signature.substr(1), keys)));
  EXPECT_FALSE(IsOk(VerifyAnnouncement(body, std::string(64, 'z'), keys)));
  EXPECT_EQ(ErrorOf(VerifyAnnouncement(body, signature, std::span(keys).first(1))).m_code,
            ErrorCode::kAnnouncementForged);
}

// Guards against targets outside the admitted prefixes or of another data centre taking a service's packets.
TEST_F(TargetRegistryTest, AppliesAdmissionRules) {
  EXPECT_EQ(Announce(MakeAnnouncement(1), kStart), ErrorCode::kOk);
  Announcement other = MakeAnnouncement(2);
  other.m_gue_endpoint = std::get<0>(ParseEndpoint("10.2.0.9:6080"));
  EXPECT_EQ(Announce(other, kStart), ErrorCode::kAnnouncementNotAdmitted);
  other = MakeAnnouncement(2);
  other.m_service = "unknown";
  EXPECT_EQ(Announce(other, kStart), ErrorCode::kAnnouncementNotAdmitted);
  other = MakeAnnouncement(2);
  other.m_data_centre = "south";
  EXPECT_EQ(Announce(other, kStart), ErrorCode::kAnnouncementWrongDataCentre);
}

// Guards against a replayed announcement keeping a dead target in the tables, also after the target was forgotten.
TEST_F(TargetRegistryTest, RefusesReplays) {
  EXPECT_EQ(Announce(MakeAnnouncement(5), kStart), ErrorCode::kOk);
  EXPECT_EQ(Announce(MakeAnnouncement(5), kStart), ErrorCode::kAnnouncementReplayed);
  EXPECT_EQ(Announce(MakeAnnouncement(4), kStart), ErrorCode::kAnnouncementReplayed);
  m_registry.Tick(kStart + seconds(5));
  m_registry.Tick(kStart + seconds(20));
  EXPECT_EQ(Announce(MakeAnnouncement(5), kStart + seconds(20)), ErrorCode::kAnnouncementReplayed);
  EXPECT_EQ(Announce(MakeAnnouncement(6), kStart + seconds(20)), ErrorCode::kOk);
}

// Guards against silent targets staying in the tables.
TEST_F(TargetRegistryTest, SilenceMakesSuspectThenWithdraws) {
  ASSERT_EQ(Announce(MakeAnnouncement(1), kStart), ErrorCode::kOk);
  EXPECT_EQ(m_registry.StateOf(*m_registry.Find(m_id), kStart + milliseconds(1999)), TargetState::kServing);
  EXPECT_EQ(m_registry.StateOf(*m_registry.Find(m_id), kStart + seconds(2)), TargetState::kSuspect);
  m_registry.Tick(kStart + milliseconds(4999));
  EXPECT_NE(m_registry.Find(m_id), nullptr);
  m_registry.Tick(kStart + seconds(5));
  EXPECT_EQ(m_registry.Find(m_id), nullptr);
}

// Guards P2: packets of one service must not reach a target of another one that has taken over the address.
TEST_F(TargetRegistryTest, KeepsAddressFromAnotherServiceForTenSeconds) {
  ASSERT_EQ(Announce(MakeAnnouncement(1), kStart), ErrorCode::kOk);
  Announcement other = MakeAnnouncement(1);
  other.m_service = "s2";
  EXPECT_EQ(Announce(other, kStart), ErrorCode::kAnnouncementNotAdmitted);
  m_registry.Tick(kStart + seconds(5));
  EXPECT_EQ(Announce(other, kStart + milliseconds(14'999)), ErrorCode::kAnnouncementNotAdmitted);
  m_registry.Tick(kStart + seconds(15));
  EXPECT_EQ(Announce(other, kStart + seconds(15)), ErrorCode::kOk);
}

// Guards against one refused connection withdrawing a target, and against a refusal outliving a newer announcement.
TEST_F(TargetRegistryTest, ThreeRefusalsWithdrawUntilTheNextAnnouncement) {
  ASSERT_EQ(Announce(MakeAnnouncement(1), kStart), ErrorCode::kOk);
  m_registry.OnConnection(m_id, true, kStart);
  m_registry.OnConnection(m_id, true, kStart);
  m_registry.OnConnection(m_id, false, kStart);
  m_registry.OnConnection(m_id, true, kStart);
  m_registry.OnConnection(m_id, true, kStart);
  EXPECT_NE(m_registry.Find(m_id), nullptr);
  m_registry.OnConnection(m_id, true, kStart);
  EXPECT_EQ(m_registry.Find(m_id), nullptr);
  EXPECT_EQ(m_registry.TakeFacts(HostId{1}, kStart).m_withdrawals.size(), 1U);
  ASSERT_EQ(Announce(MakeAnnouncement(2), kStart), ErrorCode::kOk);
  EXPECT_NE(m_registry.Find(m_id), nullptr);
}

// Guards against late facts of other balancers overriding newer ones, and against ages read as another host's time.
TEST_F(TargetRegistryTest, MergeKeepsTheNewestFact) {
  ASSERT_EQ(Announce(MakeAnnouncement(5), kStart), ErrorCode::kOk);
  TargetFacts facts = m_registry.TakeFacts(HostId{1}, kStart + milliseconds(300));
  ASSERT_EQ(facts.m_facts.size(), 1U);
  EXPECT_EQ(facts.m_facts[0].m_age_ms, 300U);
  TargetRegistry other(DataCentreId{1});
  const TimePoint elsewhere{seconds(7000)};
  other.Merge(facts, elsewhere);
  ASSERT_NE(other.Find(m_id), nullptr);
  EXPECT_EQ(other.Find(m_id)->m_last_announced, elsewhere - milliseconds(300));
  facts.m_facts[0].m_sequence = 4;
  facts.m_facts[0].m_info.m_state = TargetState::kDraining;
  other.Merge(facts, elsewhere);
  EXPECT_EQ(other.Find(m_id)->m_fact.m_info.m_state, TargetState::kServing);
  // Regression: after one answered health check, every later fact was sent in full.
  m_registry.OnHealthCheck(m_id, Incarnation{4}, true);
  (void)m_registry.TakeFacts(HostId{1}, kStart);
  ASSERT_EQ(Announce(MakeAnnouncement(6), kStart + seconds(1)), ErrorCode::kOk);
  facts = m_registry.TakeFacts(HostId{1}, kStart + seconds(1));
  ASSERT_EQ(facts.m_refreshes.size(), 1U) << "an unchanged target goes in the short form";
  other.Merge(facts, elsewhere + seconds(1));
  EXPECT_EQ(other.Find(m_id)->m_fact.m_sequence, 6U);
}

}  // namespace
}  // namespace fighatch
