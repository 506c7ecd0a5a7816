#include <algorithm>

#include "fighatch/coordinator.h"

namespace fighatch {
namespace {

/// The weight of a service's data centre in a level 1 table is the ticket's weight times the ramp's sixteenths.
std::uint16_t RampedWeight(std::uint32_t weight, std::uint16_t sixteenths) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(weight * sixteenths, UINT16_MAX));
}

std::vector<DataCentreWeight> WeightsOf(const Service& service) {
  if (!service.m_weights.empty()) return service.m_weights;
  std::vector<DataCentreWeight> weights;
  // Without weights, every data centre in which targets are admitted gets an equal share.
  for (const AdmissionRule& rule : service.m_admission) {
    const bool known = std::any_of(weights.begin(), weights.end(), [&](const DataCentreWeight& weight) {
      return weight.m_data_centre == rule.m_data_centre;
    });
    if (!known) weights.push_back({rule.m_data_centre, 1});
  }
  return weights;
}

}  // namespace

void Coordinator::UpdateDataCentreRamps(TimePoint now) {
  for (const auto& [name, data_centre] : m_state.m_data_centres) {
    const auto [position, inserted] = m_data_centre_ramps.try_emplace(data_centre.m_id);
    DataCentreRamp& ramp = position->second;
    if (inserted) ramp = {data_centre.m_state, kRampSixteenths.size() - 1, now};
    if (ramp.m_state != data_centre.m_state) ramp = {data_centre.m_state, 0, now};
    if (ramp.m_step + 1 < kRampSixteenths.size() && now - ramp.m_step_since >= kRampStepTime) {
      ++ramp.m_step;
      ramp.m_step_since = now;
    }
  }
}

std::vector<OwnerEntry> Coordinator::WantedDataCentres(const Service& service) const {
  std::vector<OwnerEntry> wanted;
  for (const DataCentreWeight& weight : WeightsOf(service)) {
    const auto data_centre = m_state.m_data_centres.find(weight.m_data_centre);
    if (data_centre == m_state.m_data_centres.end() || data_centre->second.m_state == DataCentreState::kOut) continue;
    const DataCentreId id = data_centre->second.m_id;
    const std::uint16_t sixteenths = kRampSixteenths[m_data_centre_ramps.at(id).m_step];
    wanted.push_back({id.m_value, RampedWeight(weight.m_weight, sixteenths)});
  }
  return wanted;
}

void Coordinator::PublishDataCentres(const Service& service, const std::set<HostId>& receivers, TimePoint now) {
  TablePublication& publication = PublicationOf({service.m_id, DataCentreId{}});
  for (const auto& [name, data_centre] : m_state.m_data_centres) {
    if (data_centre.m_state == DataCentreState::kOut) publication.Transition().Remove(data_centre.m_id.m_value);
  }
  publication.Transition().SetWantedOwners(WantedDataCentres(service));
  const auto is_in = [this](std::uint64_t id) {
    const DataCentre* data_centre = FindDataCentre(DataCentreId{static_cast<std::uint16_t>(id)});
    return data_centre != nullptr && data_centre->m_state == DataCentreState::kIn;
  };
  publication.Transition().Advance(receivers, is_in, now);
}

}  // namespace fighatch
