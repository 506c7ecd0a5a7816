#include "fighatch/transition.h"

#include <algorithm>
#include <utility>

namespace fighatch {

bool BeginLearning(OwnerTable* table, std::vector<OwnerEntry> next) {
  if (table->m_past.size() >= kMaxPastLists) return false;
  table->m_next = std::move(next);
  table->m_phase = TransitionPhase::kLearning;
  return true;
}

void BeginMoving(OwnerTable* table) {
  if (table->m_current != table->m_base) table->m_past.push_back(table->m_current);
  table->m_current = std::move(table->m_next);
  table->m_next.clear();
  table->m_phase = TransitionPhase::kMoving;
}

void RetireBase(OwnerTable* table) {
  table->m_base = table->m_current;
  table->m_past.clear();
  table->m_next.clear();
  table->m_phase = TransitionPhase::kSettled;
}

void RemoveOwner(OwnerTable* table, std::uint64_t id) {
  const auto remove = [id](std::vector<OwnerEntry>* list) {
    std::erase_if(*list, [id](const OwnerEntry& entry) { return entry.m_id == id; });
  };
  remove(&table->m_base);
  remove(&table->m_current);
  remove(&table->m_next);
  for (std::vector<OwnerEntry>& list : table->m_past) remove(&list);
}

}  // namespace fighatch
