#include <gtest/gtest.h>

#include "coordinator_model.h"

namespace fighatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCentreId kLevel1{};

// Guards P4: a data centre that is taken out owns no slot within 3 s, in any table that a host has.
TEST(DataCentreTest, OutTakesEffectAtOnce) {
  CoordinatorModel model(3, 3, 2, 1);
  model.Run(seconds(20));
  for (const auto& [id, host] : model.m_hosts) ASSERT_EQ(model.WeightAt(id, kLevel1, 2), 16U) << id.m_value;
  model.SetDataCentre("d2", DataCentreState::kOut);
  model.Run(seconds(1));
  for (const auto& [id, host] : model.m_hosts) {
    EXPECT_EQ(model.WeightAt(id, kLevel1, 2), 0U);
    EXPECT_EQ(model.TableAt(id, kLevel1).m_base, model.TableAt(id, kLevel1).m_current) << "its flows are given up";
  }
  EXPECT_EQ(model.m_oracle.m_fault, "");
}

// Guards P4: a data centre that is put in again does not get its full share at once.
TEST(DataCentreTest, InIsRamped) {
  CoordinatorModel model(2, 2, 2, 2);
  model.Run(seconds(20));
  model.SetDataCentre("d2", DataCentreState::kOut);
  model.Run(seconds(5));
  model.SetDataCentre("d2", DataCentreState::kIn);
  std::vector<std::uint32_t> weights;
  for (int step = 0; step < 200; ++step) {
    model.Run(milliseconds(50));
    const std::uint32_t weight = model.WeightAt({101}, kLevel1, 2);
    if (weights.empty() || weights.back() != weight) weights.push_back(weight);
  }
  EXPECT_EQ(weights, (std::vector<std::uint32_t>{0, 2, 4, 8, 16}));
}

// Guards against other data centres routing by outdated tables: the relay distributes tables to every balancer.
TEST(DataCentreTest, RelaysDistributeTables) {
  CoordinatorModel model(3, 3, 2, 3);
  model.m_loss_percent = 20;
  model.Run(seconds(30));
  for (const auto& [id, host] : model.m_hosts) {
    for (const std::uint16_t data_centre : {1, 2, 3})
      EXPECT_EQ(model.WeightAt(id, DataCentreId{data_centre}, data_centre * 1000U), 16U) << id.m_value;
  }
  EXPECT_EQ(model.m_oracle.m_fault, "");
}

// Guards P10: a data centre that is cut off goes on publishing its own targets, and has the same tables as the others
// afterwards.
TEST(DataCentreTest, PartitionedDataCentreKeepsPublishing) {
  CoordinatorModel model(2, 3, 2, 4);
  model.Run(seconds(20));
  const std::set<HostId> first = {{100}, {101}, {102}};
  const std::set<HostId> second = {{200}, {201}, {202}};
  model.Cut(first, second);
  model.Cut(second, first);
  model.m_targets[2].m_fact.m_info.m_state = TargetState::kDraining;
  model.Run(seconds(10));
  EXPECT_EQ(model.WeightAt({202}, DataCentreId{2}, 2000), 0U);
  EXPECT_EQ(model.WeightAt({102}, DataCentreId{2}, 2000), 16U);
  model.Heal();
  model.Run(seconds(10));
  EXPECT_EQ(model.TableAt({102}, DataCentreId{2}), model.TableAt({202}, DataCentreId{2}));
  EXPECT_EQ(model.TableAt({102}, kLevel1), model.TableAt({202}, kLevel1));
  EXPECT_EQ(model.m_oracle.m_fault, "");
}

}  // namespace
}  // namespace fighatch
