#include "fighatch/ticket_check.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "fighatch/ticket_processor.h"
#include "state/state_json.h"

namespace fighatch {
namespace {

using nlohmann::json;
using testing::ElementsAre;
using testing::IsEmpty;

// A flow service without findings, in the data centre "north".
json MakeService(const std::string& name, int address) {
  return {{"name", name},
          {"addresses", {{{"endpoint", "198.51.100." + std::to_string(address) + ":443"}}}},
          {"admission", {{{"prefix", "10.0.0.0/8"}, {"data_centre", "north"}}}},
          {"weights", {{{"data_centre", "north"}, {"weight", 1}}}}};
}

json MakeTicket(int number, const std::vector<json>& services) {
  return {{"number", number}, {"author", "op"}, {"services", services}};
}

class TicketCheckTest : public testing::Test {
 protected:
  TicketCheckTest() {
    json base = MakeTicket(10, {MakeService("a", 1)});
    base["data_centres"] = {{{"name", "north"}}, {{"name", "south"}}};
    EXPECT_EQ(Apply(base).m_code, ErrorCode::kOk);
  }

  static Ticket Parse(const json& text) {
    Ticket ticket;
    EXPECT_THAT(CheckTicketText(text.dump(), &ticket), IsEmpty());
    return ticket;
  }
  TicketAnswer Apply(const json& text) { return m_processor.Apply(Parse(text), {1, ++m_generation}); }

  // All findings as "severity code path", against the state or without it.
  std::vector<std::string> Check(const json& text, bool is_offline = false) const {
    const Ticket ticket = Parse(text);
    const AddressOwners owners = AddressOwnersOf(m_processor.State());
    TicketCheckInput input;
    if (!is_offline) {
      input.m_state = &m_processor.State();
      input.m_address_owners = &owners;
    }
    std::vector<std::string> found;
    const TicketCheck check(ticket, input);
    for (const auto& findings : {check.FindErrors(), check.FindWarnings()}) {
      for (const TicketFinding& finding : findings) {
        found.push_back(std::string(FindingSeverityName(finding.m_severity)) + " " +
                        std::to_string(static_cast<int>(finding.m_code)) + " " + finding.m_path);
      }
    }
    return found;
  }
  // The findings for a ticket that sets one new service.
  std::vector<std::string> CheckService(const json& service, bool is_offline = false) const {
    return Check(MakeTicket(11, {service}), is_offline);
  }

  TicketProcessor m_processor;
  std::uint64_t m_generation = 0;
};

// Guards against findings for a correct ticket, also without the state.
TEST_F(TicketCheckTest, NothingIsFoundInACorrectTicket) {
  EXPECT_THAT(CheckService(MakeService("b", 2)), IsEmpty());
  EXPECT_THAT(CheckService(MakeService("b", 2), true), IsEmpty());
}

// Guards against 3001 without the path of the field.
TEST_F(TicketCheckTest, MalformedText) {
  const auto check = [](const std::string& text) {
    Ticket ticket;
    const std::vector<TicketFinding> findings = CheckTicketText(text, &ticket);
    return findings.size() == 1 && findings[0].m_code == ErrorCode::kTicketMalformed ? findings[0].m_path : "none";
  };
  json service = MakeService("b", 2);
  service["weights"][0]["weight"] = 1001;
  EXPECT_EQ(check(MakeTicket(11, {service}).dump()), "services[0].weights[0].weight");
  service = MakeService("b", 2);
  service["adresses"] = json::array();
  EXPECT_EQ(check(MakeTicket(11, {service}).dump()), "services[0].adresses");
  EXPECT_EQ(check(R"({"number": 1, "number": 2, "author": "op"})"), "number");
  EXPECT_EQ(check("{"), "");
}

// Guards against names that are set twice, or set and removed, passing the check.
TEST_F(TicketCheckTest, MalformedStructure) {
  json ticket = MakeTicket(11, {MakeService("b", 2), MakeService("b", 3)});
  ticket["data_centres"] = {{{"name", "east"}}, {{"name", "east"}}};
  EXPECT_THAT(Check(ticket), ElementsAre("error 3001 services[1].name", "error 3001 data_centres[1].name"));
  ticket = MakeTicket(11, {MakeService("a", 1)});
  ticket["removed_services"] = json::array({"a"});
  EXPECT_THAT(Check(ticket), ElementsAre("error 3001 services[0].name"));
}

// Guards against 3002 for a resend, which is accepted, and against its absence for another ticket.
TEST_F(TicketCheckTest, NumberConflict) {
  const AcceptedTicket* accepted = m_processor.FindAccepted({10});
  ASSERT_NE(accepted, nullptr);
  EXPECT_EQ(CheckNumberConflict({10}, accepted->m_digest, *accepted).m_code, ErrorCode::kOk);
  EXPECT_EQ(CheckNumberConflict({10}, TicketDigest{}, *accepted).m_code, ErrorCode::kTicketNumberConflict);
}

// Guards against 3003 that does not name the object that a higher ticket has set.
TEST_F(TicketCheckTest, NumberTooLow) {
  json ticket = MakeTicket(9, {MakeService("a", 1)});
  ticket["data_centres"] = {{{"name", "east"}}, {{"name", "north"}}};
  EXPECT_THAT(Check(ticket), ElementsAre("error 3003 services[0]", "error 3003 data_centres[1]"));
  EXPECT_THAT(Check({{"number", 9}, {"author", "op"}, {"removed_services", json::array({"a"})}}),
              ElementsAre("error 3003 removed_services[0]"));
}

// Guards against 3004 that names only the first unknown data centre, and against 3004 while the state is not known.
TEST_F(TicketCheckTest, UnknownDataCentre) {
  json service = MakeService("b", 2);
  service["weights"].push_back({{"data_centre", "east"}});
  service["admission"].push_back({{"prefix", "10.0.0.0/8"}, {"data_centre", "east"}});
  EXPECT_THAT(CheckService(service), ElementsAre("error 3004 services[0].weights[1].data_centre",
                                                 "error 3004 services[0].admission[1].data_centre"));
  EXPECT_THAT(CheckService(service, true), IsEmpty());
}

// Guards against 3005 that misses a conflict with the state or within the ticket, and against an error where `force`
// turns it into a warning.
TEST_F(TicketCheckTest, AddressConflict) {
  json ticket = MakeTicket(11, {MakeService("b", 1), MakeService("c", 2), MakeService("d", 2)});
  ticket["services"][0]["addresses"].push_back({{"endpoint", "198.51.100.9:443"}});
  ticket["services"][2]["addresses"].push_back({{"endpoint", "198.51.100.8:443"}});
  EXPECT_THAT(Check(ticket), ElementsAre("error 3005 services[0].addresses[0]", "error 3005 services[2].addresses[0]"));
  EXPECT_THAT(Check(ticket, true), ElementsAre("error 3005 services[2].addresses[0]"));
  ticket["force"] = true;
  EXPECT_THAT(Check(ticket),
              ElementsAre("warning 3005 services[0].addresses[0]", "warning 3005 services[2].addresses[0]"));
}

// Guards against 3006 that misses a weight of 0 everywhere, also without the state, or a service of the state that a
// data centre in the ticket leaves without service.
TEST_F(TicketCheckTest, NoDataCentreInService) {
  json service = MakeService("b", 2);
  service["weights"][0]["weight"] = 0;
  EXPECT_THAT(CheckService(service), ElementsAre("error 3006 services[0].weights"));
  EXPECT_THAT(CheckService(service, true), ElementsAre("error 3006 services[0].weights"));
  json ticket{{"number", 11}, {"author", "op"}, {"data_centres", {{{"name", "north"}, {"state", "out"}}}}};
  EXPECT_THAT(Check(ticket), ElementsAre("error 3006 data_centres"));
  ticket["force"] = true;
  EXPECT_THAT(Check(ticket), ElementsAre("warning 3006 data_centres"));
}

// Guards against 3008 that is found only after sending: a text or an encoded ticket above its limit.
TEST_F(TicketCheckTest, TooLarge) {
  Ticket ticket;
  const std::vector<TicketFinding> findings = CheckTicketText(std::string(kMaxTicketBytes + 1, ' '), &ticket);
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].m_code, ErrorCode::kTicketTooLarge);
  EXPECT_EQ(CheckEncodedTicketSize(kMaxEncodedTicketBytes).m_code, ErrorCode::kOk);
  EXPECT_EQ(CheckEncodedTicketSize(kMaxEncodedTicketBytes + 1).m_code, ErrorCode::kTicketTooLarge);
}

// Guards against a service that waits for packets at an address that takes none. TCP is the default transport, which is
// easily left in a service in request mode.
TEST_F(TicketCheckTest, AddressUnmatchable) {
  json service = MakeService("b", 2);
  service["addresses"].push_back({{"endpoint", "198.51.100.2:0"}});
  service["addresses"].push_back({{"endpoint", "0.0.0.0:443"}});
  service["addresses"].push_back({{"endpoint", "[ff02::1]:443"}});
  EXPECT_THAT(CheckService(service),
              ElementsAre("warning 3101 services[0].addresses[1]", "warning 3101 services[0].addresses[2]",
                          "warning 3101 services[0].addresses[3]"));
  service = MakeService("b", 2);
  service["mode"] = "request";
  service["addresses"].push_back({{"endpoint", "198.51.100.2:443"}, {"transport", "udp"}});
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3101 services[0].addresses[0]"));
}

// Guards against a prefix that a wider or an equal one hides in the same data centre, and against a finding for the
// same prefix in another data centre.
TEST_F(TicketCheckTest, PrefixHidden) {
  json service = MakeService("b", 2);
  service["weights"].push_back({{"data_centre", "south"}});
  for (const auto& [prefix, data_centre] : std::vector<std::pair<std::string, std::string>>{
           {"10.1.0.0/16", "north"}, {"10.0.0.0/8", "north"}, {"10.0.0.0/8", "south"}, {"11.0.0.0/8", "north"}}) {
    service["admission"].push_back({{"prefix", prefix}, {"data_centre", data_centre}});
  }
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3102 services[0].admission[1].prefix",
                                                 "warning 3102 services[0].admission[2].prefix"));
}

// Guards against a service that gets no packets: it has no address, or a forced ticket gives it only addresses of a
// service with a lower id, to which balancers send the packets.
TEST_F(TicketCheckTest, ServiceHidden) {
  json service = MakeService("b", 1);
  service["addresses"].clear();
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3103 services[0].addresses"));
  json ticket = MakeTicket(11, {MakeService("b", 1)});
  ticket["force"] = true;
  EXPECT_THAT(Check(ticket),
              ElementsAre("warning 3005 services[0].addresses[0]", "warning 3103 services[0].addresses"));
}

// Guards against an idempotent path that no request equals, so that its requests are not repeated after a failure.
TEST_F(TicketCheckTest, PathUnmatchable) {
  json service = MakeService("b", 2);
  service["mode"] = "request";
  service["addresses"][0]["transport"] = "udp";
  service["idempotent_paths"] = {"/list", "list", "/list?all=1", "/list"};
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3104 services[0].idempotent_paths[1]",
                                                 "warning 3104 services[0].idempotent_paths[2]",
                                                 "warning 3104 services[0].idempotent_paths[3]"));
  service = MakeService("b", 2);
  service["idempotent_paths"] = json::array({"/list"});
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3104 services[0].idempotent_paths[0]"));
}

// Guards against a mistyped name of a removed service, which control hosts accept.
TEST_F(TicketCheckTest, RemovalWithoutEffect) {
  const json ticket{{"number", 11}, {"author", "op"}, {"removed_services", json::array({"a", "b", "a"})}};
  EXPECT_THAT(Check(ticket), ElementsAre("warning 3105 removed_services[1]", "warning 3105 removed_services[2]"));
  EXPECT_THAT(Check(ticket, true), ElementsAre("warning 3105 removed_services[2]"));
}

// Guards against two weights of one data centre, of which only one can hold.
TEST_F(TicketCheckTest, WeightRepeated) {
  json service = MakeService("b", 2);
  service["weights"].push_back({{"data_centre", "north"}, {"weight", 5}});
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3106 services[0].weights[1]"));
}

// Guards against a share of the flows for a data centre in which no target may announce itself.
TEST_F(TicketCheckTest, WeightWithoutTargets) {
  json service = MakeService("b", 2);
  service["weights"].push_back({{"data_centre", "south"}});
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3107 services[0].weights[1]"));
  service["weights"][1]["weight"] = 0;
  EXPECT_THAT(CheckService(service), IsEmpty());
  service["admission"].clear();
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3107 services[0].admission"));
}

// Guards against targets that announce themselves in a data centre that gets no flows, and against a finding for one
// that is drained by a weight of 0.
TEST_F(TicketCheckTest, AdmissionWithoutWeight) {
  json service = MakeService("b", 2);
  service["admission"].push_back({{"prefix", "10.0.0.0/8"}, {"data_centre", "south"}});
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3108 services[0].admission[1].data_centre"));
  service["weights"].push_back({{"data_centre", "south"}, {"weight", 0}});
  EXPECT_THAT(CheckService(service), IsEmpty());
}

// Guards against a share that the number of hash slots cannot express: 1 of 1001 needs at least 1001 slots.
TEST_F(TicketCheckTest, ShareBelowSlot) {
  json service = MakeService("b", 2);
  service["admission"].push_back({{"prefix", "10.0.0.0/8"}, {"data_centre", "south"}});
  service["weights"].push_back({{"data_centre", "south"}, {"weight", 1000}});
  service["hash_slots"] = 512;
  EXPECT_THAT(CheckService(service), ElementsAre("warning 3109 services[0].weights[0].weight"));
  service["hash_slots"] = 1024;
  EXPECT_THAT(CheckService(service), IsEmpty());
}

// Guards against a check by the tool that differs from that of control hosts because a part of the state is lost on its
// way through JSON.
TEST_F(TicketCheckTest, StateSurvivesItsJsonForm) {
  json service = MakeService("b", 2);
  service["mode"] = "request";
  service["idempotent_paths"] = json::array({"/list"});
  service["shed_means_not_run"] = false;
  ASSERT_EQ(Apply(MakeTicket(11, {service})).m_code, ErrorCode::kOk);
  const Result<StateDocument> state = StateFromJson(json(StateToJson(m_processor.State())));
  ASSERT_TRUE(IsOk(state)) << ToString(ErrorOf(state));
  EXPECT_EQ(ValueOf(state), m_processor.State());
  EXPECT_FALSE(IsOk(StateFromJson({{"epoch", 1}})));
  const TicketDigest digest = DigestOf(Parse(MakeTicket(11, {service})));
  EXPECT_EQ(ValueOf(DigestFromHex(DigestToHex(digest))), digest);
  EXPECT_FALSE(IsOk(DigestFromHex("00")));
}

}  // namespace
}  // namespace fighatch
