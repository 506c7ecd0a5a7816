// Time to seal and open one message with `SecureChannel`, compared with the bare cipher in the same run.

#include <sodium.h>

#include <chrono>
#include <cstring>
#include <string>
#include <vector>

#include "fighatch/secure_channel.h"
#include "report.h"

namespace fighatch::bench {
namespace {

constexpr double kMaxRatioToBareCipher = 3;

// Average time of one round since `start` in nanoseconds.
double NanosecondsSince(std::chrono::steady_clock::time_point start, int rounds) {
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / rounds;
}

KeyRing MakeKeyRing() {
  KeyRing ring;
  KeyBytes key;
  key.fill(std::byte{7});
  (void)ring.Add(KeyKind::kCluster, 1, key, true);
  return ring;
}

// Average time in nanoseconds to encrypt and decrypt the payload with libsodium alone; -1 if a decryption fails.
double MeasureBareCipher(const std::vector<std::byte>& payload, int rounds) {
  std::vector<unsigned char> plain(payload.size());
  std::vector<unsigned char> sealed(payload.size() + crypto_aead_xchacha20poly1305_ietf_ABYTES);
  const unsigned char header[kEnvelopeHeaderBytes] = {};
  unsigned char nonce[crypto_aead_xchacha20poly1305_ietf_NPUBBYTES] = {};
  const unsigned char key[crypto_aead_xchacha20poly1305_ietf_KEYBYTES] = {1};
  const auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < rounds; ++round) {
    std::memcpy(nonce, &round, sizeof(round));
    crypto_aead_xchacha20poly1305_ietf_encrypt(sealed.data(), nullptr, plain.data(), plain.size(), header,
                                               sizeof(header), nullptr, nonce, key);
    if (crypto_aead_xchacha20poly1305_ietf_decrypt(plain.data(), nullptr, nullptr, sealed.data(), sealed.size(), header,
                                                   sizeof(header), nonce, key) != 0)
      return -1;
  }
  return NanosecondsSince(start, rounds);
}

// Average time in nanoseconds to seal and open the payload with channels that have exchanged their tokens; -1 if a
// message is refused.
double MeasureSealAndOpen(const std::vector<std::byte>& payload, int rounds) {
  SecureChannel sender({{1}, {1}, 11}, MakeKeyRing());
  SecureChannel receiver({{2}, {1}, 22}, MakeKeyRing());
  const auto first = sender.Seal({2}, MessageType::kProbe, payload, kMaxUdpMessageBytes);
  const OpenedMessage refused = receiver.Open(ValueOf(first), kMaxUdpMessageBytes);
  (void)sender.Open(refused.m_reply, kMaxUdpMessageBytes);
  int accepted = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < rounds; ++round) {
    const auto sealed = sender.Seal({2}, MessageType::kProbe, payload, kMaxUdpMessageBytes);
    accepted += receiver.Open(ValueOf(sealed), kMaxUdpMessageBytes).m_envelope ? 1 : 0;
  }
  const double average_ns = NanosecondsSince(start, rounds);
  return accepted == rounds ? average_ns : -1;
}

bool Measure(std::size_t bytes, int rounds) {
  const std::string name = "seal_and_open_" + std::to_string(bytes);
  const std::vector<std::byte> payload(bytes);
  const double bare_ns = MeasureBareCipher(payload, rounds);
  const double channel_ns = MeasureSealAndOpen(payload, rounds);
  Report(name, channel_ns, "ns", std::nullopt, bare_ns);
  return channel_ns > 0 && Report(name + "_over_bare_cipher", channel_ns / bare_ns, "ratio", kMaxRatioToBareCipher, 1);
}

}  // namespace
}  // namespace fighatch::bench

int main(int argc, char** argv) {
  if (sodium_init() < 0) return 1;
  const int rounds = argc > 1 && std::strcmp(argv[1], "--quick") == 0 ? 20000 : 200000;
  bool pass = true;
  for (const std::size_t bytes : {32, 200, 1000}) pass = fighatch::bench::Measure(bytes, rounds) && pass;
  return pass ? 0 : 1;
}
