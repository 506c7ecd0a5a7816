#include "fighatch/ticket_processor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "config/control_settings.h"
#include "config/json_reader.h"

namespace fighatch {
namespace {

constexpr std::array kDataCentres{"north", "middle", "south"};

Ticket MakeTicket(std::uint64_t number, const std::string& service, std::uint32_t address = 1,
                  const std::string& data_centre = "north") {
  Ticket ticket;
  ticket.m_number.m_value = number;
  ticket.m_author = "op";
  Service& added = ticket.m_services.emplace_back();
  added.m_name = service;
  added.m_addresses.push_back({{IpAddress::FromV4(0xC6336400 + address), 80}, Transport::kTcp});
  added.m_weights.push_back({data_centre, 1});
  return ticket;
}

Ticket MakeDataCentres(std::uint64_t number, DataCentreState state) {
  Ticket ticket;
  ticket.m_number.m_value = number;
  for (const char* name : kDataCentres) ticket.m_data_centres.push_back({name, {}, state, "r1", {}});
  return ticket;
}

class TicketProcessorTest : public testing::Test {
 protected:
  TicketAnswer Apply(const Ticket& ticket) { return m_processor.Apply(ticket, {1, ++m_index}); }
  ErrorCode Code(const Ticket& ticket) { return Apply(ticket).m_code; }

  TicketProcessor m_processor;
  std::uint64_t m_index = 0;
};

// Guards against a refusal with the wrong code, a refusal that changes state, and `force` that does not override.
TEST_F(TicketProcessorTest, RefusesWithTheRightCode) {
  EXPECT_EQ(Code(MakeTicket(1, "a")), ErrorCode::kTicketUnknownDataCentre);
  EXPECT_EQ(Code(MakeDataCentres(1, DataCentreState::kIn)), ErrorCode::kOk);
  EXPECT_EQ(Code(MakeTicket(1, "a")), ErrorCode::kTicketNumberConflict);
  EXPECT_EQ(Code(MakeTicket(5, "a")), ErrorCode::kOk);
  EXPECT_EQ(Code(MakeTicket(4, "a")), ErrorCode::kTicketNumberTooLow);
  EXPECT_EQ(Code(MakeTicket(6, "b")), ErrorCode::kTicketAddressConflict);
  EXPECT_EQ(Code(MakeDataCentres(7, DataCentreState::kOut)), ErrorCode::kTicketAllDataCentresOut);
  EXPECT_EQ(m_processor.State().m_version, (Version{1, 4}));
  Ticket forced = MakeTicket(6, "b");
  forced.m_force = true;
  EXPECT_EQ(Code(forced), ErrorCode::kOk);
  Ticket too_low = MakeTicket(3, "a");
  too_low.m_force = true;
  EXPECT_EQ(Code(too_low), ErrorCode::kTicketNumberTooLow);
}

// Guards against a ticket with a lower number restoring a removed service, and against an id that is assigned twice.
TEST_F(TicketProcessorTest, RemovedServiceStaysRemovedAndItsIdIsNotReused) {
  EXPECT_EQ(Code(MakeDataCentres(1, DataCentreState::kIn)), ErrorCode::kOk);
  EXPECT_EQ(Code(MakeTicket(2, "a")), ErrorCode::kOk);
  Ticket removal;
  removal.m_number.m_value = 9;
  removal.m_removed_services = {"a"};
  EXPECT_EQ(Code(removal), ErrorCode::kOk);
  EXPECT_EQ(Code(MakeTicket(8, "a")), ErrorCode::kTicketNumberTooLow);
  EXPECT_EQ(Code(MakeTicket(10, "a")), ErrorCode::kOk);
  EXPECT_EQ(m_processor.State().m_services.at("a").m_id.m_value, 2U);
}

// Guards against an address being swapped between two services in one ticket counting as a conflict.
TEST_F(TicketProcessorTest, ServicesMaySwapAddresses) {
  EXPECT_EQ(Code(MakeDataCentres(1, DataCentreState::kIn)), ErrorCode::kOk);
  EXPECT_EQ(Code(MakeTicket(2, "a", 1)), ErrorCode::kOk);
  EXPECT_EQ(Code(MakeTicket(3, "b", 2)), ErrorCode::kOk);
  Ticket swap = MakeTicket(4, "a", 2);
  swap.m_services.push_back(MakeTicket(4, "b", 1).m_services[0]);
  EXPECT_EQ(Code(swap), ErrorCode::kOk);
  EXPECT_EQ(Code(MakeTicket(5, "c", 1)), ErrorCode::kTicketAddressConflict);
}

Ticket AnyTicket() {
  Ticket ticket = MakeTicket(*rc::gen::inRange(1, 40), std::string(1, *rc::gen::inRange('a', 'f')),
                             *rc::gen::inRange(1, 5), *rc::gen::elementOf(kDataCentres));
  const int kind = *rc::gen::inRange(0, 10);
  if (kind == 0) ticket.m_removed_services = {std::string(1, *rc::gen::inRange('f', 'h'))};
  if (kind < 3)
    ticket.m_data_centres.push_back(
        {kDataCentres[kind], {}, DataCentreState{*rc::gen::inRange<std::uint8_t>(0, 2)}, "r", {}});
  ticket.m_force = kind == 4;
  return ticket;
}

// Guards against deltas that miss a change, a number under which two tickets are accepted, and answers that differ
// after a restore from a snapshot.
RC_GTEST_PROP(TicketProcessorPropertyTest, DeltasAndSnapshotsGiveTheSameState, ()) {
  TicketProcessor processor;
  TicketProcessor restored;
  std::map<TicketNumber, TicketAnswer> accepted;
  StateDocument follower;
  const int count = *rc::gen::inRange(1, 60);
  for (int index = 1; index <= count; ++index) {
    const Ticket ticket = AnyTicket();
    const Version version{1 + static_cast<std::uint64_t>(index) / 10, static_cast<std::uint64_t>(index)};
    const TicketAnswer answer = processor.Apply(ticket, version);
    RC_ASSERT(restored.Apply(ticket, version) == answer);
    if (answer.m_code == ErrorCode::kOk) RC_ASSERT(accepted.emplace(ticket.m_number, answer).first->second == answer);
    if (*rc::gen::inRange(0, 4) == 0) RC_ASSERT(IsOk(restored.Restore(processor.EncodeSnapshot())));
    if (*rc::gen::inRange(0, 5) != 0) continue;
    if (const std::optional<StateDelta> delta = restored.DeltaSince(follower.m_version)) {
      RC_ASSERT(!delta->m_snapshot);
      RC_ASSERT(IsOk(ApplyDelta(ValueOf(DecodeDelta(EncodeDelta(*delta))), &follower)));
    }
    RC_ASSERT(follower == processor.State());
  }
  RC_ASSERT(restored.State() == processor.State());
}

// Guards against a receiver that is further behind than the kept changes getting a delta with gaps.
TEST_F(TicketProcessorTest, SendsASnapshotWhenTooFarBehind) {
  EXPECT_EQ(Code(MakeDataCentres(1, DataCentreState::kIn)), ErrorCode::kOk);
  const StateDocument old = m_processor.State();
  for (std::uint64_t number = 2; number < 2 + kMaxDeltaChanges; ++number) {
    EXPECT_EQ(Code(MakeTicket(number, "a")), ErrorCode::kOk);
  }
  StateDocument follower = old;
  EXPECT_FALSE(m_processor.DeltaSince(old.m_version)->m_snapshot);
  EXPECT_EQ(Code(MakeTicket(1000, "a")), ErrorCode::kOk);
  const std::optional<StateDelta> delta = m_processor.DeltaSince(old.m_version);
  ASSERT_TRUE(delta && delta->m_snapshot);
  ASSERT_TRUE(IsOk(ApplyDelta(*delta, &follower)));
  EXPECT_EQ(follower, m_processor.State());
  EXPECT_FALSE(m_processor.DeltaSince(follower.m_version));
}

// Guards against a damaged delta, or one for another version, changing the receiver's state.
TEST_F(TicketProcessorTest, ReceiverRefusesWrongDeltas) {
  EXPECT_EQ(Code(MakeDataCentres(1, DataCentreState::kIn)), ErrorCode::kOk);
  StateDelta delta = *m_processor.DeltaSince({});
  delta.m_data_centres[0].m_region = "elsewhere";
  StateDocument follower;
  EXPECT_FALSE(IsOk(ApplyDelta(delta, &follower)));
  EXPECT_EQ(follower, StateDocument{});
  StateDocument other;
  other.m_version = {0, 7};
  EXPECT_FALSE(IsOk(ApplyDelta(*m_processor.DeltaSince({}), &other)));
}

// Guards against example tickets and settings that the programs refuse.
TEST(ExamplesTest, AreAccepted) {
  const std::string folder = std::string(FIGHATCH_SOURCE_DIR) + "/examples";
  for (const char* name : {"agency", "head_office"}) {
    const auto text = config::ReadTextFile(folder + "/tickets/" + name + ".json");
    const Result<Ticket> ticket = ParseTicket(ValueOf(text));
    ASSERT_TRUE(IsOk(ticket)) << name << ": " << ToString(ErrorOf(ticket));
    TicketProcessor processor;
    EXPECT_EQ(processor.Apply(ValueOf(ticket), {1, 1}).m_code, ErrorCode::kOk) << name;
  }
  const auto settings = config::ParseControlSettings(ValueOf(config::ReadTextFile(folder + "/control.json")));
  EXPECT_TRUE(IsOk(settings)) << ToString(ErrorOf(settings));
}

}  // namespace
}  // namespace fighatch
