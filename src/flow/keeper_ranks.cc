#include "fighatch/keeper_ranks.h"

#include <algorithm>

#include "fighatch/hash.h"

namespace fighatch {
namespace {

constexpr std::uint32_t kBucketBits = 12;
constexpr std::uint16_t kNoBalancer = 0xFFFF;

/// The bucket of a flow: the upper bits of its hash, since the lower ones select the hash slot.
std::uint32_t BucketOf(std::uint64_t flow_hash) noexcept {
  return static_cast<std::uint32_t>(flow_hash >> (64U - kBucketBits));
}

bool IsKeeperCandidate(const Member& member) noexcept {
  const bool present = member.m_state == MemberState::kAlive || member.m_state == MemberState::kSuspect;
  return member.m_role == MemberRole::kBalancer && present;
}

}  // namespace

KeeperRanks::KeeperRanks(std::span<const Member> members) {
  std::vector<Member> balancers;
  std::copy_if(members.begin(), members.end(), std::back_inserter(balancers), IsKeeperCandidate);
  std::sort(balancers.begin(), balancers.end(),
            [](const Member& left, const Member& right) { return left.m_host.m_value < right.m_host.m_value; });
  std::vector<DataCentreId> data_centres;
  for (const Member& member : balancers) {
    m_balancers.push_back(
        {member.m_host, member.m_data_endpoint, member.m_control_endpoint, member.m_state == MemberState::kSuspect});
    data_centres.push_back(member.m_data_centre);
  }
  std::sort(data_centres.begin(), data_centres.end());
  data_centres.erase(std::unique(data_centres.begin(), data_centres.end()), data_centres.end());
  for (const DataCentreId data_centre : data_centres) {
    DataCentreRanks ranks{data_centre, {}, {}, {}, {}};
    std::vector<std::uint16_t> all;
    for (std::size_t index = 0; index < balancers.size(); ++index) {
      if (balancers[index].m_data_centre != data_centre) continue;
      all.push_back(static_cast<std::uint16_t>(index));
      (balancers[index].m_keeper_ready ? ranks.m_ready_balancers : ranks.m_joining_balancers).push_back(all.back());
    }
    if (ranks.m_ready_balancers.empty()) ranks.m_ready_balancers.swap(ranks.m_joining_balancers);
    ranks.m_ready = RankAll(ranks.m_ready_balancers, m_balancers);
    if (!ranks.m_joining_balancers.empty()) ranks.m_prospective = RankAll(all, m_balancers);
    m_data_centres.push_back(std::move(ranks));
  }
}

std::vector<KeeperRanks::RankedPair> KeeperRanks::RankAll(std::span<const std::uint16_t> indexes,
                                                          const std::vector<BalancerEntry>& balancers) {
  std::vector<RankedPair> ranks(1U << kBucketBits, RankedPair{kNoBalancer, kNoBalancer});
  std::vector<std::uint64_t> seeds;
  for (const std::uint16_t index : indexes) seeds.push_back(MixHash(balancers[index].m_host.m_value, 2));
  for (std::uint32_t bucket = 0; bucket < ranks.size(); ++bucket) {
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    for (std::size_t position = 0; position < seeds.size(); ++position) {
      const std::uint64_t hash = MixHash(seeds[position], bucket) | 1U;
      if (hash > first) {
        ranks[bucket] = {indexes[position], ranks[bucket][0]};
        second = first;
        first = hash;
      } else if (hash > second) {
        ranks[bucket][1] = indexes[position];
        second = hash;
      }
    }
  }
  return ranks;
}

const KeeperRanks::DataCentreRanks* KeeperRanks::FindDataCentreRanks(DataCentreId data_centre) const noexcept {
  for (const DataCentreRanks& ranks : m_data_centres) {
    if (ranks.m_data_centre == data_centre) return &ranks;
  }
  return nullptr;
}

KeeperPair KeeperRanks::PairOf(const std::vector<RankedPair>& ranks, std::uint64_t flow_hash) const noexcept {
  const RankedPair& pair = ranks[BucketOf(flow_hash)];
  return {pair[0] == kNoBalancer ? nullptr : &m_balancers[pair[0]],
          pair[1] == kNoBalancer ? nullptr : &m_balancers[pair[1]]};
}

KeeperPair KeeperRanks::Find(DataCentreId data_centre, std::uint64_t flow_hash) const noexcept {
  const DataCentreRanks* ranks = FindDataCentreRanks(data_centre);
  return ranks == nullptr ? KeeperPair{} : PairOf(ranks->m_ready, flow_hash);
}

KeeperPair KeeperRanks::FindProspective(DataCentreId data_centre, std::uint64_t flow_hash) const noexcept {
  const DataCentreRanks* ranks = FindDataCentreRanks(data_centre);
  if (ranks == nullptr) return {};
  return PairOf(ranks->m_prospective.empty() ? ranks->m_ready : ranks->m_prospective, flow_hash);
}

const BalancerEntry* KeeperRanks::FindBalancer(HostId host) const noexcept {
  const auto found =
      std::lower_bound(m_balancers.begin(), m_balancers.end(), host,
                       [](const BalancerEntry& entry, HostId id) { return entry.m_host.m_value < id.m_value; });
  return found != m_balancers.end() && found->m_host == host ? &*found : nullptr;
}

std::vector<BalancerEntry> KeeperRanks::Select(const std::vector<std::uint16_t>& indexes) const {
  std::vector<BalancerEntry> balancers;
  balancers.reserve(indexes.size());
  for (const std::uint16_t index : indexes) balancers.push_back(m_balancers[index]);
  return balancers;
}

std::vector<BalancerEntry> KeeperRanks::Ready(DataCentreId data_centre) const {
  const DataCentreRanks* ranks = FindDataCentreRanks(data_centre);
  return ranks == nullptr ? std::vector<BalancerEntry>{} : Select(ranks->m_ready_balancers);
}

std::vector<BalancerEntry> KeeperRanks::Joining(DataCentreId data_centre) const {
  const DataCentreRanks* ranks = FindDataCentreRanks(data_centre);
  return ranks == nullptr ? std::vector<BalancerEntry>{} : Select(ranks->m_joining_balancers);
}

std::uint64_t KeeperRanks::DigestOf(const std::vector<std::uint16_t>& indexes) const noexcept {
  std::uint64_t digest = indexes.size();
  for (const std::uint16_t index : indexes) digest = MixHash(digest, m_balancers[index].m_host.m_value);
  return digest;
}

std::uint64_t KeeperRanks::ReadyDigest(DataCentreId data_centre) const noexcept {
  const DataCentreRanks* ranks = FindDataCentreRanks(data_centre);
  return ranks == nullptr ? 0 : DigestOf(ranks->m_ready_balancers);
}

std::uint64_t KeeperRanks::Digest() const noexcept {
  std::uint64_t digest = 0;
  for (const DataCentreRanks& ranks : m_data_centres) {
    digest = MixHash(MixHash(digest, ranks.m_data_centre.m_value), DigestOf(ranks.m_ready_balancers));
    digest = MixHash(digest, DigestOf(ranks.m_joining_balancers));
  }
  return digest;
}

std::size_t KeeperRanks::Bytes() const noexcept {
  std::size_t bytes = m_balancers.capacity() * sizeof(BalancerEntry);
  for (const DataCentreRanks& ranks : m_data_centres) {
    bytes += sizeof(DataCentreRanks) + (ranks.m_ready.capacity() + ranks.m_prospective.capacity()) * sizeof(RankedPair);
  }
  return bytes;
}

}  // namespace fighatch
