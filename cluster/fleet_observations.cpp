#include "cluster/fleet_observations.h"

#include "cluster/rendezvous.h"

#include <algorithm>
#include <optional>

namespace bramleystall {

namespace {

/** Interval between the probes of a failing VM. */
constexpr absl::Duration kProbeInterval = absl::Seconds(1);

/** Members of a data centre that are not dead. */
std::vector<const MemberView*>
LiveMembers(const std::string& aDataCentre,
            const std::vector<MemberView>& aMembers)
{
  std::vector<const MemberView*> live;
  for (const MemberView& member : aMembers) {
    if (member.m_dataCentre == aDataCentre &&
        member.m_liveness != Liveness::Dead) {
      live.push_back(&member);
    }
  }
  return live;
}

const MemberView*
ChooseProber(const std::string& aVm,
             const std::vector<const MemberView*>& aLive)
{
  const auto best =
    std::ranges::max_element(aLive, {}, [&aVm](const MemberView* aMember) {
      return RendezvousWeight(aVm, aMember->m_daemon, 0);
    });
  return best == aLive.end() ? nullptr : *best;
}

/** Lowest report of the members, so that a failure takes precedence. */
std::optional<int>
LowestReport(const std::string& aVm,
             const std::vector<const MemberView*>& aLive)
{
  std::optional<int> lowest;
  for (const MemberView* const member : aLive) {
    const auto report = member->m_probeStates.find(aVm);
    if (report != member->m_probeStates.end()) {
      lowest = std::min(lowest.value_or(report->second), report->second);
    }
  }
  return lowest;
}

std::optional<VmObservation>
ObservationOf(const VmRecord& aVm,
              const std::vector<const MemberView*>& aLive,
              absl::Time aWallNow)
{
  const MemberView* const prober = ChooseProber(aVm.m_name, aLive);
  if (!prober) {
    return std::nullopt;
  }
  std::optional<int> report = LowestReport(aVm.m_name, aLive);
  if (!report) {
    const bool isSteady =
      prober->m_fleetRevision > 0 && !IsAlwaysReported(aVm.m_state);
    report = isSteady ? kSteadySuccesses : 0;
  }
  if (*report == 0) {
    return std::nullopt;
  }
  VmObservation observation;
  observation.m_isHealthy = *report > 0;
  observation.m_consecutiveProbeSuccesses = std::max(*report, 0);
  observation.m_consecutiveProbeFailures = std::max(-*report, 0);
  observation.m_lastHealthy =
    aWallNow - observation.m_consecutiveProbeFailures * kProbeInterval;
  return observation;
}

}

std::string
FindProber(const std::string& aVm,
           const std::string& aDataCentre,
           const std::vector<MemberView>& aMembers)
{
  const MemberView* const prober =
    ChooseProber(aVm, LiveMembers(aDataCentre, aMembers));
  return prober ? prober->m_daemon : "";
}

bool
IsAlwaysReported(VmState aState)
{
  return aState != VmState::Ready && aState != VmState::Draining;
}

std::map<std::string, VmObservation>
CombineObservations(const std::map<std::string, FleetDocument>& aDocuments,
                    const std::vector<MemberView>& aMembers,
                    absl::Time aWallNow)
{
  std::map<std::string, VmObservation> observations;
  for (const auto& [dataCentre, document] : aDocuments) {
    const auto live = LiveMembers(dataCentre, aMembers);
    for (const auto& [name, vm] : document.m_vms) {
      const auto observation = ObservationOf(vm, live, aWallNow);
      if (observation) {
        observations.emplace(name, *observation);
      }
    }
  }
  return observations;
}

}
