#include "fighatch/ticket.h"

#include <gtest/gtest.h>

namespace fighatch {
namespace {

constexpr std::string_view kTicket = R"({
  // Comments are allowed.
  "number": 7, "author": "op",
  "data_centres": [{"name": "north", "region": "r1"}],
  "services": [{"name": "ledger-house", "addresses": [{"endpoint": "198.51.100.7:443"}],
                "admission": [{"prefix": "10.1.0.0/16", "data_centre": "north"}],
                "weights": [{"data_centre": "north", "weight": 2}]}]
})";

// Guards against fields of the JSON form that are missing in the parsed ticket.
TEST(TicketTest, ParsesEveryField) {
  const Result<Ticket> ticket = ParseTicket(kTicket);
  ASSERT_TRUE(IsOk(ticket)) << ToString(ErrorOf(ticket));
  EXPECT_EQ(ValueOf(ticket).m_number.m_value, 7U);
  ASSERT_EQ(ValueOf(ticket).m_services.size(), 1U);
  const Service& service = ValueOf(ticket).m_services[0];
  EXPECT_EQ(ToString(service.m_addresses.at(0).m_endpoint), "198.51.100.7:443");
  EXPECT_EQ(ToString(service.m_admission.at(0).m_prefix), "10.1.0.0/16");
  EXPECT_EQ(service.m_weights.at(0).m_weight, 2U);
}

// Guards against a ticket with a mistyped field being accepted without it: each error names the field's path.
TEST(TicketTest, RefusesBadFieldsWithTheirPath) {
  struct Case {
    std::string_view m_text;
    std::string_view m_expected;
  };
  for (const Case& bad : {
           Case{R"({"number": 1, "author": "a", "serivces": []})", "serivces"},
           Case{R"({"number": 1, "author": "a", "services": [{"name": "s", "hash_slots": 1000}]})",
                "services[0].hash_slots"},
           Case{R"({"number": 1, "author": "a", "services": [{"name": "s", "mode": 3}]})", "services[0].mode"},
           Case{R"({"number": -1, "author": "a"})", "number"},
           Case{R"({"number": 1, "author": "a", "data_centres": [{"name": "x", "name": "y"}]})", "duplicate_key"},
           Case{R"({"author": "a"})", "number"},
           Case{R"({"number": 1,)", "settings_syntax"},
       }) {
    const Result<Ticket> ticket = ParseTicket(bad.m_text);
    ASSERT_FALSE(IsOk(ticket)) << bad.m_text;
    EXPECT_EQ(ErrorOf(ticket).m_code, ErrorCode::kTicketMalformed);
    EXPECT_NE(ErrorOf(ticket).m_detail.find(bad.m_expected), std::string::npos) << ErrorOf(ticket).m_detail;
  }
}

// Guards against a resent ticket being taken for another one because its text is laid out differently.
TEST(TicketTest, DigestDependsOnContentOnly) {
  std::string other_layout(kTicket);
  other_layout.insert(1, "\n\n  ");
  EXPECT_EQ(DigestOf(ValueOf(ParseTicket(kTicket))), DigestOf(ValueOf(ParseTicket(other_layout))));
  other_layout.replace(other_layout.find("\"weight\": 2"), 11, "\"weight\": 3");
  EXPECT_NE(DigestOf(ValueOf(ParseTicket(kTicket))), DigestOf(ValueOf(ParseTicket(other_layout))));
}

// Guards against forged container lengths: every truncation and every changed byte gives an error or a value, never a
// crash or a large allocation.
TEST(StateDocumentTest, DecoderSurvivesDamage) {
  StateDocument state;
  state.m_services["s"] = ValueOf(ParseTicket(kTicket)).m_services[0];
  const std::vector<std::byte> encoded = EncodeState(state);
  ASSERT_EQ(ValueOf(DecodeState(encoded)), state);
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    EXPECT_FALSE(IsOk(DecodeState(std::span(encoded).first(size))));
  }
  for (std::size_t index = 0; index < encoded.size(); ++index) {
    std::vector<std::byte> damaged = encoded;
    damaged[index] = ~damaged[index];
    (void)DecodeState(damaged);
  }
}

}  // namespace
}  // namespace fighatch
