#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "fighatch/hash.h"
#include "fighatch/owner_transition.h"
#include "fighatch/random.h"
#include "fighatch/slot_table.h"
#include "flow_test_support.h"

namespace fighatch {
namespace {

constexpr std::uint32_t kSlots = 16384;

std::vector<OwnerEntry> Owners(std::uint64_t count, std::uint16_t weight) {
  std::vector<OwnerEntry> owners;
  for (std::uint64_t id = 1; id <= count; ++id) owners.push_back({id * 7919, weight});
  return owners;
}

std::vector<std::uint64_t> IdsOf(const std::vector<OwnerEntry>& owners) {
  std::vector<std::uint64_t> ids;
  for (const std::uint16_t index : OwnersOfSlots(owners, kSlots)) ids.push_back(owners[index].m_id);
  return ids;
}

// Guards against a hash that moves slots between owners that did not change.
TEST(SlotTableTest, AChangeMovesSlotsOnlyToOrFromTheChangedOwner) {
  const std::vector<OwnerEntry> before = Owners(15, 16);
  std::vector<OwnerEntry> heavier = before;
  heavier[3].m_weight = 24;
  std::vector<OwnerEntry> fewer = before;
  fewer.erase(fewer.begin() + 5);
  const auto old_ids = IdsOf(before);
  const auto heavier_ids = IdsOf(heavier);
  const auto fewer_ids = IdsOf(fewer);
  for (std::uint32_t slot = 0; slot < kSlots; ++slot) {
    if (heavier_ids[slot] != old_ids[slot]) {
      EXPECT_EQ(heavier_ids[slot], before[3].m_id);
    }
    if (fewer_ids[slot] != old_ids[slot]) {
      EXPECT_EQ(old_ids[slot], before[5].m_id);
    }
  }
}

// Guards against owners whose shares of the slots are not proportional to their weights.
TEST(SlotTableTest, SharesFollowTheWeights) {
  std::vector<OwnerEntry> owners = Owners(6, 16);
  owners[0].m_weight = 2;
  owners[1].m_weight = 8;
  owners[2].m_weight = 0;
  std::map<std::uint64_t, int> counts;
  for (const std::uint64_t id : IdsOf(owners)) ++counts[id];
  const double unit = kSlots / (2 + 8 + 3 * 16.0);
  EXPECT_NEAR(counts[owners[0].m_id] / (2 * unit), 1, 0.2);
  EXPECT_NEAR(counts[owners[1].m_id] / (8 * unit), 1, 0.1);
  EXPECT_EQ(counts[owners[2].m_id], 0);
  EXPECT_NEAR(counts[owners[5].m_id] / (16 * unit), 1, 0.1);
}

// Guards against hosts that compute different owners because their lists are in another order, and against a change of
// the function between versions, which would move every flow. The expected digest is therefore fixed.
TEST(SlotTableTest, GivesTheSameOwnersOnEveryHost) {
  std::vector<OwnerEntry> owners = Owners(9, 16);
  owners[4].m_weight = 5;
  const auto ids = IdsOf(owners);
  std::reverse(owners.begin(), owners.end());
  EXPECT_EQ(IdsOf(owners), ids);
  for (std::uint32_t slot = 0; slot < 100; ++slot) EXPECT_EQ(owners[SlotOwner(owners, slot)].m_id, ids[slot]);
  EXPECT_EQ(SlotOwner({}, 3), kNoOwner);
  std::uint64_t digest = 0;
  for (const std::uint64_t id : ids) digest = MixHash(digest, id);
  EXPECT_EQ(digest, 11278807311653734776U);
}

TableFixture TwoServices() {
  TableFixture fixture;
  fixture.AddDataCentre(1);
  fixture.AddDataCentre(2);
  for (std::uint32_t service : {1U, 2U}) {
    fixture.AddService(service, {1, 2});
    for (std::uint16_t data_centre : {std::uint16_t{1}, std::uint16_t{2}}) {
      for (std::uint32_t number = 1; number <= 3; ++number) fixture.AddTarget(service, data_centre, number);
    }
  }
  fixture.AddBalancer(1, 1);
  return fixture;
}

// Guards against delivery to another service (P2): an owner list that names a target of another service by mistake
// yields no owner.
TEST(ForwardingTableTest, NeverNamesATargetOfAnotherService) {
  TableFixture fixture = TwoServices();
  OwnerTable& table = fixture.Table(1, 1);
  table.m_current.push_back({2101, 64});
  table.m_base = table.m_current;
  const auto built = fixture.Build(1, 1);
  const ServiceTable* service = built->FindService(ServiceId{1});
  std::uint32_t without_owner = 0;
  for (std::uint32_t slot = 0; slot < service->Slots(); ++slot) {
    const SlotOwners owners = service->Resolve(slot);
    without_owner += owners.m_current == nullptr ? 1 : 0;
    if (owners.m_current != nullptr) {
      EXPECT_EQ(owners.m_current->m_service, ServiceId{1});
    }
  }
  EXPECT_GT(without_owner, 0U);
}

// Guards against a service look-up that ignores the protocol or the port.
TEST(ForwardingTableTest, FindsAServiceByAddressProtocolAndPort) {
  const auto built = TwoServices().Build(1, 1);
  EXPECT_EQ(built->FindService(TableFixture::ServiceAt(2), Transport::kUdp)->Id(), ServiceId{2});
  Endpoint other = TableFixture::ServiceAt(2);
  other.m_port = 81;
  EXPECT_EQ(built->FindService(other, Transport::kTcp), nullptr);
}

// Guards against flows that break when a slot moves to another owner and back before the base list is retired: the
// owners by base and current are equal then, but the owner between them has flows.
TEST(ForwardingTableTest, ASlotThatMovedAwayAndBackStaysInTransition) {
  TableFixture fixture = TwoServices();
  OwnerTable& table = fixture.Table(1, 1);
  const std::vector<OwnerEntry> start = table.m_current;
  const TargetId joined = fixture.AddTarget(1, 1, 9, false);
  std::vector<OwnerEntry> next = start;
  next.push_back({joined.m_value, 16});
  ASSERT_TRUE(BeginLearning(&table, next));
  BeginMoving(&table);
  const auto moved = fixture.Build(1, 1);
  ASSERT_TRUE(BeginLearning(&table, start));
  BeginMoving(&table);
  const auto back = fixture.Build(1, 1);
  EXPECT_GT(moved->FindService(ServiceId{1})->ChangingSlots(), 0U);
  EXPECT_EQ(back->FindService(ServiceId{1})->ChangingSlots(), moved->FindService(ServiceId{1})->ChangingSlots());
  RetireBase(&table);
  EXPECT_EQ(fixture.Build(1, 1)->FindService(ServiceId{1})->ChangingSlots(), 0U);
}

/// Makes a change of owners. No balancer acknowledges it, so the learning phase lasts for `kLearningLimit`. Advances
/// `now` by a minute.
bool Change(OwnerTransition* transition, const std::vector<OwnerEntry>& owners, TimePoint* now) {
  transition->SetWantedOwners(owners);
  const auto is_live = [](std::uint64_t) { return true; };
  bool changed = transition->Advance({HostId{1}}, is_live, *now);
  *now += kLearningLimit;
  changed = transition->Advance({HostId{1}}, is_live, *now) && changed;
  *now += std::chrono::minutes(1) - kLearningLimit;
  return changed;
}

// Guards against flows that break when the coordinator raises a weight and lowers it again. Its table had no past lists
// and settled at once, although the owner in between had flows.
TEST(ForwardingTableTest, AWeightThatTheCoordinatorChangesThereAndBackKeepsItsFlows) {
  TableFixture fixture = TwoServices();
  const std::vector<OwnerEntry> start = fixture.Table(1, 1).m_current;
  std::vector<OwnerEntry> heavier = start;
  heavier[0].m_weight = 32;
  OwnerTransition transition(fixture.Table(1, 1), 1, kDefaultBaseIdleLimit);
  TimePoint now = AtMs(1000);
  ASSERT_TRUE(Change(&transition, heavier, &now));
  fixture.Table(1, 1) = transition.Table();
  const auto moved = fixture.Build(1, 1);
  ASSERT_TRUE(Change(&transition, start, &now));
  ASSERT_EQ(transition.Table().m_current, start);
  transition.Advance(
      {HostId{1}}, [](std::uint64_t) { return true; }, now);
  fixture.Table(1, 1) = transition.Table();
  const auto back = fixture.Build(1, 1, moved.get());
  const ServiceTable* service = back->FindService(ServiceId{1});
  EXPECT_GT(moved->FindService(ServiceId{1})->ChangingSlots(), 0U);
  for (std::uint32_t slot = 0; slot < service->Slots(); ++slot) {
    const bool was_settled = moved->FindService(ServiceId{1})->Resolve(slot).m_settled;
    EXPECT_EQ(service->Resolve(slot).m_settled, was_settled) << slot;
  }
}

// Guards against past lists that reach their limit under one change a minute, and against the removal of a list
// although the flows of a slot are at an owner that no other list gives.
TEST(OwnerTransitionTest, PastListsStayFewAndNameEveryFormerOwner) {
  constexpr std::uint32_t kFewSlots = 256;
  Random random(7);
  std::vector<OwnerEntry> owners = Owners(6, 16);
  OwnerTable table;
  table.m_base = owners;
  table.m_current = owners;
  OwnerTransition transition(table, 1, kDefaultBaseIdleLimit);
  std::vector<std::set<std::uint64_t>> former(kFewSlots);
  TimePoint now = AtMs(1000);
  for (int minute = 0; minute < 300; ++minute) {
    // For 100 minutes only the weight of the first owner changes, as in a ramp; then the weights of all owners do.
    const std::uint64_t changed = minute < 100 ? 0 : random.Below(owners.size());
    const auto weight = static_cast<std::uint16_t>(1 + random.Below(16));
    owners[changed].m_weight = owners[changed].m_weight == weight ? weight + 1 : weight;
    ASSERT_TRUE(Change(&transition, owners, &now)) << minute;
    const OwnerTable& table_in_use = transition.Table();
    EXPECT_LT(table_in_use.m_past.size(), minute < 100 ? 3U : kMaxPastLists);
    std::vector<std::vector<OwnerEntry>> lists = table_in_use.m_past;
    lists.insert(lists.end(), {table_in_use.m_base, table_in_use.m_current});
    for (std::uint32_t slot = 0; slot < kFewSlots; ++slot) {
      former[slot].insert(owners[SlotOwner(owners, slot)].m_id);
      std::set<std::uint64_t> named;
      for (const auto& list : lists) named.insert(list[SlotOwner(list, slot)].m_id);
      ASSERT_TRUE(std::includes(named.begin(), named.end(), former[slot].begin(), former[slot].end())) << slot;
    }
  }
}

// Guards against packets for a data centre that is out of service (P4), and against a surge of flows when it returns
// before the region coordinator has written a new table.
TEST(ForwardingTableTest, ADataCentreThatIsOutOwnsNothingUntilANewTable) {
  TableFixture fixture = TwoServices();
  OwnerTable& shares = fixture.Table(1, 0);
  shares.m_version = {1, 1};
  shares.m_current = {{1, 1}, {2, 1}};
  shares.m_base = shares.m_current;
  const auto owned_by_two = [](const ForwardingTable& table) {
    std::uint32_t count = 0;
    const ServiceTable* service = table.FindService(ServiceId{1});
    for (std::uint32_t slot = 0; slot < service->Slots(); ++slot) {
      const SlotOwners owners = service->Resolve(slot);
      EXPECT_TRUE(owners.m_settled);
      if (owners.m_current->m_data_centre == DataCentreId{2}) ++count;
    }
    return count;
  };
  const auto before = fixture.Build(1, 1);
  EXPECT_GT(owned_by_two(*before), 0U);
  fixture.m_state.m_data_centres["dc2"].m_state = DataCentreState::kOut;
  const auto out = fixture.Build(1, 1, before.get());
  EXPECT_EQ(owned_by_two(*out), 0U);
  fixture.m_state.m_data_centres["dc2"].m_state = DataCentreState::kIn;
  const auto in = fixture.Build(1, 1, out.get());
  EXPECT_EQ(owned_by_two(*in), 0U);
  fixture.Table(1, 0).m_version = {1, 2};
  EXPECT_GT(owned_by_two(*fixture.Build(1, 1, in.get())), 0U);
}

// Guards against a rebuild of every service when one changes, which takes seconds with 10,000 services.
TEST(ForwardingTableTest, SharesUnchangedServices) {
  TableFixture fixture = TwoServices();
  const auto before = fixture.Build(1, 1);
  fixture.Table(1, 1).m_current.pop_back();
  const auto after = fixture.Build(1, 1, before.get());
  EXPECT_NE(after->FindService(ServiceId{1}), before->FindService(ServiceId{1}));
  EXPECT_EQ(after->FindService(ServiceId{2}), before->FindService(ServiceId{2}));
}

}  // namespace
}  // namespace fighatch
