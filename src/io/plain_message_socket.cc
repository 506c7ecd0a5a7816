#include "io/plain_message_socket.h"

#include <zstd.h>

#include <algorithm>

namespace fighatch::io {
namespace {

constexpr std::byte kMagicFirst{'F'};
constexpr std::byte kMagicSecond{'P'};
constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kCompressedFlag = 1;
// Magic (2), version (1), type (1), flags (1), message id (4), fragment index (2) and fragment count (2).
constexpr std::size_t kHeaderBytes = 13;
// Largest payload of one datagram.
constexpr std::size_t kFragmentBytes = 16 * 1024;
constexpr std::size_t kMaxFragments = PlainMessageSocket::kMaxPayloadBytes / kFragmentBytes + 1;
// Messages that may wait for fragments at a time; the oldest is dropped for a new one.
constexpr std::size_t kMaxReassemblies = 16;
// Smaller payloads are sent uncompressed.
constexpr std::size_t kCompressionThresholdBytes = 512;
constexpr int kCompressionLevel = 1;

// Reads an unsigned integer of `size` bytes in network byte order.
std::uint32_t ReadNumber(std::span<const std::byte> bytes, std::size_t offset, std::size_t size) {
  std::uint32_t value = 0;
  for (std::size_t index = 0; index < size; ++index) {
    value = value << 8U | std::to_integer<std::uint32_t>(bytes[offset + index]);
  }
  return value;
}

// Appends an unsigned integer of `size` bytes in network byte order.
void AppendNumber(std::vector<std::byte>* out, std::uint32_t value, std::size_t size) {
  for (std::size_t shift = size * 8; shift > 0; shift -= 8)
    out->push_back(static_cast<std::byte>(value >> (shift - 8)));
}

}  // namespace

struct PlainMessageSocket::FragmentHeader {
  MessageType m_type = MessageType::kProbe;
  bool m_compressed = false;
  std::uint32_t m_id = 0;
  std::uint16_t m_fragment_index = 0;
  std::uint16_t m_fragment_count = 0;
};

Result<PlainMessageSocket> PlainMessageSocket::Bind(const Endpoint& local) {
  UdpOptions options;
  options.m_batch = 8;
  options.m_datagram_bytes = kHeaderBytes + kFragmentBytes;
  options.m_kernel_buffer_bytes = 1 << 20;
  Result<UdpSocket> socket = UdpSocket::Bind(local, options);
  if (!IsOk(socket)) return ErrorOf(socket);
  return PlainMessageSocket(std::move(ValueOf(socket)));
}

Status PlainMessageSocket::Send(const Endpoint& destination, MessageType type, std::span<const std::byte> payload) {
  if (payload.size() > kMaxPayloadBytes) return MakeError(ErrorCode::kMessageOversized);
  std::vector<std::byte> compressed;
  if (payload.size() >= kCompressionThresholdBytes) {
    compressed.resize(ZSTD_compressBound(payload.size()));
    const std::size_t size =
        ZSTD_compress(compressed.data(), compressed.size(), payload.data(), payload.size(), kCompressionLevel);
    compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  }
  const bool use_compressed = !compressed.empty() && compressed.size() < payload.size();
  const std::span<const std::byte> bytes = use_compressed ? std::span<const std::byte>(compressed) : payload;
  const std::size_t fragment_count = std::max<std::size_t>(1, (bytes.size() + kFragmentBytes - 1) / kFragmentBytes);
  const std::uint32_t id = ++m_next_id;
  bool all_sent = true;
  for (std::size_t index = 0; index < fragment_count; ++index) {
    const std::span<const std::byte> body =
        bytes.subspan(index * kFragmentBytes, std::min(kFragmentBytes, bytes.size() - index * kFragmentBytes));
    std::vector<std::byte> datagram{kMagicFirst, kMagicSecond, std::byte{kVersion}, static_cast<std::byte>(type),
                                    std::byte{use_compressed ? kCompressedFlag : std::uint8_t{0}}};
    datagram.reserve(kHeaderBytes + body.size());
    AppendNumber(&datagram, id, 4);
    AppendNumber(&datagram, static_cast<std::uint32_t>(index), 2);
    AppendNumber(&datagram, static_cast<std::uint32_t>(fragment_count), 2);
    datagram.insert(datagram.end(), body.begin(), body.end());
    all_sent = m_socket.Send(destination, datagram) && all_sent;
    m_counters.m_sent_bytes += datagram.size();
  }
  ++m_counters.m_sent;
  return all_sent ? OkStatus() : Status(MakeError(ErrorCode::kIoSocket, "send"));
}

std::vector<PlainMessage> PlainMessageSocket::Receive(Deadline deadline) {
  std::vector<PlainMessage> messages;
  for (const IncomingDatagram& datagram : m_socket.Receive(deadline)) HandleDatagram(datagram, &messages);
  return messages;
}

void PlainMessageSocket::HandleDatagram(const IncomingDatagram& datagram, std::vector<PlainMessage>* messages) {
  const std::span<const std::byte> bytes = datagram.m_bytes;
  m_counters.m_received_bytes += bytes.size();
  const bool is_valid = bytes.size() >= kHeaderBytes && bytes[0] == kMagicFirst && bytes[1] == kMagicSecond &&
                        ReadNumber(bytes, 2, 1) == kVersion &&
                        IsKnownMessageType(static_cast<std::uint8_t>(ReadNumber(bytes, 3, 1)));
  if (!is_valid) {
    ++m_counters.m_malformed;
    return;
  }
  FragmentHeader header;
  header.m_type = static_cast<MessageType>(ReadNumber(bytes, 3, 1));
  header.m_compressed = (ReadNumber(bytes, 4, 1) & kCompressedFlag) != 0;
  header.m_id = ReadNumber(bytes, 5, 4);
  header.m_fragment_index = static_cast<std::uint16_t>(ReadNumber(bytes, 9, 2));
  header.m_fragment_count = static_cast<std::uint16_t>(ReadNumber(bytes, 11, 2));
  const std::span<const std::byte> body = bytes.subspan(kHeaderBytes);
  const bool is_part = header.m_fragment_count > 1;
  if (header.m_fragment_count == 0 || header.m_fragment_count > kMaxFragments ||
      header.m_fragment_index >= header.m_fragment_count || (is_part && body.empty())) {
    ++m_counters.m_malformed;
    return;
  }
  if (!is_part) return CompleteMessage(datagram.m_source, header, body, messages);
  AddFragment(datagram.m_source, header, body, messages);
}

void PlainMessageSocket::AddFragment(const Endpoint& source, const FragmentHeader& header,
                                     std::span<const std::byte> fragment, std::vector<PlainMessage>* messages) {
  auto reassembly = std::find_if(m_reassemblies.begin(), m_reassemblies.end(), [&](const Reassembly& candidate) {
    return candidate.m_source == source && candidate.m_id == header.m_id;
  });
  if (reassembly == m_reassemblies.end()) {
    if (m_reassemblies.size() >= kMaxReassemblies) {
      m_reassemblies.pop_front();
      ++m_counters.m_incomplete;
    }
    m_reassemblies.push_back(
        {source, header.m_id, header.m_fragment_count, std::vector<std::vector<std::byte>>(header.m_fragment_count)});
    reassembly = std::prev(m_reassemblies.end());
  }
  if (reassembly->m_fragments.size() != header.m_fragment_count ||
      !reassembly->m_fragments[header.m_fragment_index].empty())
    return;
  reassembly->m_fragments[header.m_fragment_index].assign(fragment.begin(), fragment.end());
  if (--reassembly->m_missing > 0) return;
  std::vector<std::byte> whole;
  for (const std::vector<std::byte>& bytes : reassembly->m_fragments)
    whole.insert(whole.end(), bytes.begin(), bytes.end());
  m_reassemblies.erase(reassembly);
  CompleteMessage(source, header, whole, messages);
}

void PlainMessageSocket::CompleteMessage(const Endpoint& source, const FragmentHeader& header,
                                         std::span<const std::byte> bytes, std::vector<PlainMessage>* messages) {
  PlainMessage message{source, header.m_type, {bytes.begin(), bytes.end()}};
  if (header.m_compressed) {
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size > kMaxPayloadBytes) {  // Also true for zstd's two error values, which are larger.
      ++m_counters.m_malformed;
      return;
    }
    message.m_payload.resize(size);
    const std::size_t written = ZSTD_decompress(message.m_payload.data(), size, bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0 || written != size) {
      ++m_counters.m_malformed;
      return;
    }
  }
  ++m_counters.m_received;
  messages->push_back(std::move(message));
}

}  // namespace fighatch::io
