#include "balancer/flow_explanation.h"

namespace fighatch::daemon {
namespace {

Decision ToTarget(const ServiceTable& service, const TargetEntry* target) {
  Decision decision;
  decision.m_service = service.Id();
  if (target == nullptr) {
    decision.m_code = ErrorCode::kPacketNoTarget;
    return decision;
  }
  decision.m_kind = DecisionKind::kTarget;
  decision.m_target = target->m_id;
  decision.m_endpoint = target->m_gue_endpoint;
  return decision;
}

Decision ToKeeper(const ServiceTable& service, const BalancerEntry& keeper) {
  Decision decision;
  decision.m_kind = DecisionKind::kBalancer;
  decision.m_reason = ForwardReason::kKeeper;
  decision.m_service = service.Id();
  decision.m_balancer = keeper.m_host;
  decision.m_endpoint = keeper.m_data_endpoint;
  return decision;
}

}  // namespace

Decision ExplainFlow(const FlowDecider& decider, const FlowKey& key, std::uint64_t flow_hash) {
  const ForwardingTable* table = decider.Table();
  const ServiceTable* service = table == nullptr ? nullptr : table->FindService(key.m_destination, key.m_transport);
  Decision decision;
  if (service == nullptr) {
    decision.m_code = ErrorCode::kPacketUnknownService;
    return decision;
  }
  if (service->Mode() == ServiceMode::kRequest) {
    decision.m_kind = DecisionKind::kRequest;
    decision.m_service = service->Id();
    return decision;
  }
  const std::uint32_t slot = service->SlotOf(flow_hash);
  if (const TargetEntry* settled = service->SettledOwner(slot)) return ToTarget(*service, settled);
  const FlowRecord* record = decider.Records().Find(flow_hash, service->Id());
  const TargetEntry* recorded = record == nullptr ? nullptr : service->FindTarget(record->m_target);
  if (recorded != nullptr) return ToTarget(*service, recorded);
  const SlotOwners owners = service->Resolve(slot);
  const KeeperPair keepers = table->Keepers().Find(owners.m_keeper_data_centre, flow_hash);
  const bool is_keeper = keepers.m_first == nullptr || keepers.m_first->m_host == table->Self();
  return is_keeper ? ToTarget(*service, owners.m_base) : ToKeeper(*service, *keepers.m_first);
}

}  // namespace fighatch::daemon
