#include "fighatch/transition.h"

#include <algorithm>
#include <map>
#include <utility>

namespace fighatch {
namespace {

using OwnerList = std::vector<OwnerEntry>;

std::uint16_t WeightIn(const OwnerList& list, std::uint64_t id) {
  const auto found = std::find_if(list.begin(), list.end(), [id](const OwnerEntry& entry) { return entry.m_id == id; });
  return found == list.end() ? 0 : found->m_weight;
}

/// True if each slot that `owner` owns by `list` is its slot by `other` as well: by rendezvous hashing a slot stays
/// with an owner whose own weight does not fall while no other weight rises.
bool Covers(const OwnerList& other, const OwnerList& list, const OwnerEntry& owner) {
  if (WeightIn(other, owner.m_id) < owner.m_weight) return false;
  return std::all_of(other.begin(), other.end(), [&](const OwnerEntry& entry) {
    return entry.m_id == owner.m_id || entry.m_weight <= WeightIn(list, entry.m_id);
  });
}

/// True if every owner of a slot by the past list at `index` owns the slot by another list of the table too.
bool IsRedundant(const OwnerTable& table, std::size_t index) {
  const OwnerList& list = table.m_past[index];
  return std::all_of(list.begin(), list.end(), [&](const OwnerEntry& entry) {
    if (entry.m_weight == 0 || Covers(table.m_base, list, entry) || Covers(table.m_current, list, entry)) return true;
    for (std::size_t other = 0; other < table.m_past.size(); ++other) {
      if (other != index && Covers(table.m_past[other], list, entry)) return true;
    }
    return false;
  });
}

void PruneRedundantPastLists(OwnerTable* table) {
  for (std::size_t index = table->m_past.size(); index-- > 0;) {
    if (IsRedundant(*table, index)) table->m_past.erase(table->m_past.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

struct WeightRange {
  std::uint16_t m_low = 0;
  std::uint16_t m_high = 0;
};

std::map<std::uint64_t, WeightRange> WeightRangesOf(const std::vector<OwnerList>& lists) {
  std::map<std::uint64_t, WeightRange> ranges;
  for (const OwnerList& list : lists) {
    for (const OwnerEntry& entry : list) ranges.try_emplace(entry.m_id, WeightRange{entry.m_weight, 0});
  }
  for (auto& [id, range] : ranges) {
    for (const OwnerList& list : lists) {
      range.m_low = std::min(range.m_low, WeightIn(list, id));
      range.m_high = std::max(range.m_high, WeightIn(list, id));
    }
  }
  return ranges;
}

/// A list in which `owner` has its highest weight and all others their lowest. It covers the slots of `owner` by each
/// of the lists that the ranges were taken from.
OwnerList ListFavouring(std::uint64_t owner, const std::map<std::uint64_t, WeightRange>& ranges) {
  OwnerList list;
  for (const auto& [id, range] : ranges) {
    const std::uint16_t weight = id == owner ? range.m_high : range.m_low;
    if (weight > 0) list.push_back({id, weight});
  }
  return list;
}

/// Replaces the past lists by fewer ones that cover them, if that makes them fewer. More slots may be in transition
/// then.
void CondensePastLists(OwnerTable* table) {
  const std::map<std::uint64_t, WeightRange> ranges = WeightRangesOf(table->m_past);
  OwnerTable condensed = *table;
  condensed.m_past.clear();
  for (const auto& [id, range] : ranges) {
    OwnerList list = ListFavouring(id, ranges);
    // The owners whose weight does not vary share one list.
    const bool known = std::find(condensed.m_past.begin(), condensed.m_past.end(), list) != condensed.m_past.end();
    if (!known) condensed.m_past.push_back(std::move(list));
    if (condensed.m_past.size() >= table->m_past.size()) return;
  }
  PruneRedundantPastLists(&condensed);
  table->m_past = std::move(condensed.m_past);
}

}  // namespace

bool BeginLearning(OwnerTable* table, std::vector<OwnerEntry> next) {
  if (table->m_past.size() >= kMaxPastLists) return false;
  table->m_next = std::move(next);
  table->m_phase = TransitionPhase::kLearning;
  return true;
}

std::vector<OwnerEntry> CancelLearning(OwnerTable* table) {
  table->m_phase = HasOneOwnerList(*table) ? TransitionPhase::kSettled : TransitionPhase::kMoving;
  return std::exchange(table->m_next, {});
}

void BeginMoving(OwnerTable* table) {
  table->m_past.push_back(std::exchange(table->m_current, std::exchange(table->m_next, {})));
  table->m_phase = TransitionPhase::kMoving;
  PruneRedundantPastLists(table);
  if (table->m_past.size() >= kMaxPastLists) CondensePastLists(table);
}

bool HasOneOwnerList(const OwnerTable& table) { return table.m_base == table.m_current && table.m_past.empty(); }

void RetireBase(OwnerTable* table) {
  table->m_base = table->m_current;
  table->m_past.clear();
  table->m_next.clear();
  table->m_phase = TransitionPhase::kSettled;
}

bool RemoveOwner(OwnerTable* table, std::uint64_t id) {
  bool changed = false;
  const auto remove = [&changed, id](std::vector<OwnerEntry>* list) {
    changed = std::erase_if(*list, [id](const OwnerEntry& entry) { return entry.m_id == id; }) > 0 || changed;
  };
  remove(&table->m_base);
  remove(&table->m_current);
  remove(&table->m_next);
  for (std::vector<OwnerEntry>& list : table->m_past) remove(&list);
  if (changed) PruneRedundantPastLists(table);
  return changed;
}

}  // namespace fighatch
