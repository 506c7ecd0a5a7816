#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <map>
#include <set>

#include "fighatch/incarnation.h"
#include "fighatch/random.h"
#include "fighatch/secure_channel.h"

namespace fighatch {
namespace {

using Bytes = std::vector<std::byte>;

constexpr HostId kAlice{11};
constexpr HostId kBob{12};

KeyBytes KeyOf(int value) {
  KeyBytes key;
  key.fill(static_cast<std::byte>(value));
  return key;
}

KeyRing RingOf(std::uint32_t active, std::vector<std::uint32_t> ids) {
  KeyRing ring;
  for (const std::uint32_t id : ids)
    EXPECT_TRUE(IsOk(ring.Add(KeyKind::kCluster, id, KeyOf(static_cast<int>(id)), id == active)));
  return ring;
}

SecureChannel ChannelOf(HostId self, std::uint64_t incarnation = 1, std::uint64_t token = 0) {
  return {{self, {incarnation}, token != 0 ? token : self.m_value * 1000U}, RingOf(1, {1})};
}

Bytes SealTo(SecureChannel& from, HostId to, int content = 7) {
  return ValueOf(from.Seal(to, MessageType::kProbe, Bytes(20, static_cast<std::byte>(content)), kMaxUdpMessageBytes));
}

OpenedMessage OpenAt(SecureChannel& receiver, const Bytes& message) {
  return receiver.Open(message, kMaxUdpMessageBytes);
}

ErrorCode CodeOf(const OpenedMessage& opened) { return opened.m_error ? opened.m_error->m_code : ErrorCode::kOk; }

// Exchanges session tokens: the first message is refused with a challenge, sealed again, and then accepted.
void ExchangeTokens(SecureChannel& from, SecureChannel& to) {
  const OpenedMessage refused = OpenAt(to, SealTo(from, to.Self()));
  ASSERT_EQ(CodeOf(refused), ErrorCode::kMessageReplayed);
  const OpenedMessage challenge = OpenAt(from, refused.m_reply);
  ASSERT_FALSE(challenge.m_reply.empty());
  ASSERT_TRUE(OpenAt(to, challenge.m_reply).m_envelope.has_value());
}

class SecurityChannelTest : public ::testing::Test {
 protected:
  SecurityChannelTest() { ExchangeTokens(m_alice, m_bob); }

  // Expects that Bob refuses the message with this code. Several tests then check that a good message is still
  // accepted, since a refused one must change nothing.
  void ExpectRefused(const Bytes& bad, ErrorCode code) {
    const OpenedMessage opened = OpenAt(m_bob, bad);
    EXPECT_EQ(CodeOf(opened), code);
    EXPECT_FALSE(opened.m_envelope.has_value());
  }

  SecureChannel m_alice = ChannelOf(kAlice);
  SecureChannel m_bob = ChannelOf(kBob);
};

// Guards against a message that is truncated at any byte being accepted as a shorter one.
TEST_F(SecurityChannelTest, RefusesAMessageTruncatedAtEachByte) {
  const Bytes good = SealTo(m_alice, kBob);
  for (std::size_t size = 0; size < good.size(); ++size)
    ExpectRefused(Bytes(good.begin(), good.begin() + static_cast<std::ptrdiff_t>(size)), ErrorCode::kMessageTruncated);
  EXPECT_TRUE(OpenAt(m_bob, good).m_envelope.has_value());
}

// Guards against a part of the message, header or payload, that the authentication tag does not cover.
TEST_F(SecurityChannelTest, RefusesEveryAlteredByteAndStaysUnchanged) {
  const Bytes good = SealTo(m_alice, kBob);
  std::set<ErrorCode> codes;
  for (std::size_t offset = 0; offset < good.size(); ++offset) {
    Bytes bad = good;
    bad[offset] ^= std::byte{0x40};
    const OpenedMessage opened = OpenAt(m_bob, bad);
    EXPECT_FALSE(opened.m_envelope.has_value()) << offset;
    codes.insert(CodeOf(opened));
  }
  EXPECT_TRUE(codes.contains(ErrorCode::kMessageForged));
  EXPECT_FALSE(codes.contains(ErrorCode::kOk));
  EXPECT_TRUE(OpenAt(m_bob, good).m_envelope.has_value());
}

// Guards against header errors that share an error code or are found only after the payload was decrypted.
TEST_F(SecurityChannelTest, ReportsEachHeaderErrorByItsCode) {
  const auto altered = [this](std::size_t offset, int value) {
    Bytes bad = SealTo(m_alice, kBob);
    bad[offset] = static_cast<std::byte>(value);
    return bad;
  };
  ExpectRefused(altered(0, 'X'), ErrorCode::kMessageMalformed);
  ExpectRefused(altered(2, 9), ErrorCode::kMessageUnknownVersion);
  ExpectRefused(altered(3, 250), ErrorCode::kMessageUnknownType);
  ExpectRefused(altered(4, 1), ErrorCode::kMessageUnknownKey);
  Bytes longer = SealTo(m_alice, kBob);
  longer.push_back(std::byte{0});
  ExpectRefused(longer, ErrorCode::kMessageMalformed);
  ExpectRefused(Bytes(kMaxUdpMessageBytes + 1, std::byte{'F'}), ErrorCode::kMessageOversized);
}

// Guards against a sender that seals messages above the size that its peers accept.
TEST_F(SecurityChannelTest, RefusesToSealAboveTheLimits) {
  const Bytes fits(kMaxTcpPayloadBytes);
  auto sealed = m_alice.Seal(kBob, MessageType::kStateSnapshot, fits, kMaxTcpMessageBytes);
  ASSERT_TRUE(IsOk(sealed));
  EXPECT_TRUE(m_bob.Open(ValueOf(sealed), kMaxTcpMessageBytes).m_envelope.has_value());
  const Bytes larger(kMaxUdpPayloadBytes + 1);
  EXPECT_EQ(ErrorOf(m_alice.Seal(kBob, MessageType::kProbe, larger, kMaxUdpMessageBytes)).m_code,
            ErrorCode::kMessageOversized);
}

// Guards against messages forged by an attacker who knows everything but the key.
TEST_F(SecurityChannelTest, RefusesAMessageSealedWithAnotherKeyUnderAKnownId) {
  KeyRing forged_ring;
  ASSERT_TRUE(IsOk(forged_ring.Add(KeyKind::kCluster, 1, KeyOf(99), true)));
  SecureChannel forger({kAlice, {50}, 1}, std::move(forged_ring));
  const OpenedMessage opened = OpenAt(m_bob, SealTo(forger, kBob));
  EXPECT_EQ(CodeOf(opened), ErrorCode::kMessageForged);
  EXPECT_TRUE(opened.m_reply.empty());
  EXPECT_TRUE(OpenAt(m_bob, SealTo(m_alice, kBob)).m_envelope.has_value());
}

// Guards against a recorded message being accepted twice, by the same receiver or by another one.
TEST_F(SecurityChannelTest, RefusesAReplay) {
  const Bytes message = SealTo(m_alice, kBob);
  EXPECT_TRUE(OpenAt(m_bob, message).m_envelope.has_value());
  ExpectRefused(message, ErrorCode::kMessageReplayed);
  SecureChannel carol = ChannelOf({13});
  EXPECT_EQ(CodeOf(OpenAt(carol, message)), ErrorCode::kMessageReplayed);
}

// Guards against messages sealed before a restart of the receiver being accepted after it, whether or not they were
// delivered before.
TEST_F(SecurityChannelTest, RefusesAReplayFromBeforeTheReceiversRestart) {
  const Bytes delivered = SealTo(m_alice, kBob);
  const Bytes held_back = SealTo(m_alice, kBob);
  EXPECT_TRUE(OpenAt(m_bob, delivered).m_envelope.has_value());
  m_bob = ChannelOf(kBob, 2, 777);
  ExpectRefused(delivered, ErrorCode::kMessageReplayed);
  ExpectRefused(held_back, ErrorCode::kMessageReplayed);
  ExchangeTokens(m_alice, m_bob);
  ExpectRefused(delivered, ErrorCode::kMessageReplayed);
  ExpectRefused(held_back, ErrorCode::kMessageReplayed);
}

// Guards against messages of an earlier incarnation of the sender, and against a replay window that outlives its
// incarnation.
TEST_F(SecurityChannelTest, RefusesAnOlderIncarnationOfTheSender) {
  const Bytes old_message = SealTo(m_alice, kBob);
  SecureChannel restarted = ChannelOf(kAlice, 2, 555);
  ExchangeTokens(restarted, m_bob);
  ExpectRefused(old_message, ErrorCode::kMessageReplayed);
}

// Guards against a host without a disk being refused for ever because its clock went back across a restart.
TEST_F(SecurityChannelTest, ReportsAHigherKnownIncarnationToTheSender) {
  SecureChannel newer = ChannelOf(kAlice, 9, 555);
  ExchangeTokens(newer, m_bob);
  SecureChannel older = ChannelOf(kAlice, 4, 556);
  OpenedMessage refused = OpenAt(m_bob, SealTo(older, kBob));
  (void)OpenAt(older, refused.m_reply);
  EXPECT_EQ(older.HigherIncarnationSeen(), Incarnation{9});
}

// Guards against two hosts that answer each other's challenges endlessly.
TEST_F(SecurityChannelTest, NeverAnswersAChallengeWithAChallenge) {
  m_bob = ChannelOf(kBob, 2, 777);
  const OpenedMessage refused = OpenAt(m_bob, SealTo(m_alice, kBob));
  m_alice = ChannelOf(kAlice, 2, 778);
  const OpenedMessage stale = OpenAt(m_alice, refused.m_reply);
  EXPECT_EQ(CodeOf(stale), ErrorCode::kMessageReplayed);
  EXPECT_TRUE(stale.m_reply.empty());
}

// Guards against a replay being accepted after the full table of senders has evicted its sender.
TEST(SecurityChannelBoundTest, AcceptsNoReplayAfterASenderWasEvicted) {
  SecureChannel bob({kBob, {1}, 5000, 2}, RingOf(1, {1}));
  SecureChannel alice = ChannelOf(kAlice);
  ExchangeTokens(alice, bob);
  const Bytes message = SealTo(alice, kBob);
  EXPECT_TRUE(OpenAt(bob, message).m_envelope.has_value());
  for (std::uint32_t host = 20; host < 24; ++host) {
    SecureChannel other = ChannelOf({host});
    ExchangeTokens(other, bob);
  }
  EXPECT_EQ(CodeOf(OpenAt(bob, message)), ErrorCode::kMessageReplayed);
}

// Guards against a key rotation that needs downtime: at each step hosts with old and new settings run side by side.
TEST(SecurityKeyRotationTest, RotatesKeysWithoutRefusedMessages) {
  SecureChannel alice({kAlice, {1}, 1}, RingOf(1, {1}));
  SecureChannel bob({kBob, {1}, 2}, RingOf(1, {1}));
  ExchangeTokens(alice, bob);
  const std::vector<std::pair<std::uint32_t, std::vector<std::uint32_t>>> steps = {{1, {1, 2}}, {2, {1, 2}}, {2, {2}}};
  for (const auto& [active, ids] : steps) {
    alice.SetKeys(RingOf(active, ids));
    EXPECT_TRUE(OpenAt(bob, SealTo(alice, kBob)).m_envelope.has_value());
    EXPECT_TRUE(OpenAt(alice, SealTo(bob, kAlice)).m_envelope.has_value());
    bob.SetKeys(RingOf(active, ids));
    EXPECT_TRUE(OpenAt(alice, SealTo(bob, kAlice)).m_envelope.has_value());
  }
  SecureChannel old_key({{13}, {1}, 3}, RingOf(1, {1}));
  EXPECT_EQ(CodeOf(OpenAt(bob, SealTo(old_key, kBob))), ErrorCode::kMessageUnknownKey);
}

// Guards against bad key files being accepted: a reload with one bad file must fail as a whole, or it would drop keys.
TEST(SecurityKeyRingTest, RefusesBadKeyFiles) {
  const std::string path = std::string(FIGHATCH_BINARY_DIR) + "/security_key.hex";
  const std::string digits(64, 'a');
  std::ofstream(path) << digits << "\n";
  const KeyFile good{KeyKind::kCluster, 1, path, true};
  EXPECT_TRUE(IsOk(KeyRing::Load(std::vector{good})));
  const auto refused = [](std::vector<KeyFile> files) {
    Result<KeyRing> ring = KeyRing::Load(files);
    return !IsOk(ring) && ErrorOf(ring).m_code == ErrorCode::kKeyUnreadable;
  };
  EXPECT_TRUE(refused({{KeyKind::kCluster, 1, path + ".missing", true}}));
  EXPECT_TRUE(refused({good, {KeyKind::kCluster, 1, path, false}}));
  EXPECT_TRUE(refused({good, {KeyKind::kCluster, 2, path, true}}));
  EXPECT_TRUE(refused({{KeyKind::kOperator, 1, path, false}}));
  for (const std::string& bad : {std::string(62, 'a'), std::string(66, 'a'), digits + "x", std::string(64, 'g')})
    EXPECT_FALSE(IsOk(KeyRing::ParseKey(bad))) << bad;
}

// Guards against a key of one kind being used for the purpose of another, such as a target key for cluster messages.
TEST(SecurityKeyRingTest, KeepsKindsApart) {
  KeyRing ring;
  ASSERT_TRUE(IsOk(ring.Add(KeyKind::kTarget, 1, KeyOf(1), true)));
  EXPECT_EQ(ring.Find(KeyKind::kCluster, 1), nullptr);
  SecureChannel channel({kAlice, {1}, 1}, std::move(ring));
  EXPECT_EQ(ErrorOf(channel.Seal(kBob, MessageType::kProbe, {}, kMaxUdpMessageBytes)).m_code,
            ErrorCode::kMessageUnknownKey);
}

// Guards against errors where the ring of bits wraps around: the reference model is a set of the numbers seen.
RC_GTEST_PROP(SecurityReplayWindowTest, AgreesWithASetOfSeenNumbers, ()) {
  ReplayWindow window;
  std::set<std::uint64_t> seen;
  std::uint64_t highest = 0;
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 3000));
  for (const std::uint32_t step : steps) {
    const std::uint64_t sequence = highest + step < 1500 ? step : highest + step - 1500;
    const bool expected = sequence + ReplayWindow::kWindowSize > highest && !seen.contains(sequence);
    RC_ASSERT(IsOk(window.Accept(kAlice, {1}, sequence)) == expected);
    if (!expected) continue;
    seen.insert(sequence);
    highest = std::max(highest, sequence);
  }
}

class MemoryStore : public FileStore {
 public:
  Result<Bytes> Read(const std::string& name) override { return m_files[name]; }
  Status Replace(const std::string& name, std::span<const std::byte> bytes) override {
    m_files[name].assign(bytes.begin(), bytes.end());
    return OkStatus();
  }
  std::map<std::string, Bytes> m_files;
};

// Guards against an incarnation being used twice after a restart, a clock that went back, or a torn file.
TEST(SecurityIncarnationTest, IsStrictlyIncreasing) {
  MemoryStore store;
  EXPECT_EQ(ValueOf(AllocateIncarnation(&store, 1000)), Incarnation{1000});
  EXPECT_EQ(ValueOf(AllocateIncarnation(&store, 400)), Incarnation{1001});
  EXPECT_EQ(ValueOf(AllocateIncarnation(&store, 1000)), Incarnation{1002});
  store.m_files["incarnation"].pop_back();
  EXPECT_EQ(ValueOf(AllocateIncarnation(&store, 5000)), Incarnation{5000});
  EXPECT_EQ(ValueOf(AllocateIncarnation(nullptr, 6000)), Incarnation{6000});
}

}  // namespace
}  // namespace fighatch
