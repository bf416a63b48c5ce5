#include "cluster/drain_acknowledgement.h"

#include <algorithm>
#include <map>

namespace bramleystall {

namespace {

/** Members that must acknowledge, by daemon; null for an unknown member. */
using RequiredMembers = std::map<std::string, const MemberView*>;

RequiredMembers
FindRequired(const std::string& aDataCentre,
             const std::vector<MemberView>& aMembers,
             const std::optional<std::vector<VmListing>>& aVmList)
{
  RequiredMembers required;
  if (aVmList) {
    for (const VmListing& listing : *aVmList) {
      if (listing.m_isEntry && listing.m_dataCentre == aDataCentre) {
        required.emplace(listing.m_name, nullptr);
      }
    }
  }
  for (const MemberView& member : aMembers) {
    if (member.m_dataCentre != aDataCentre) {
      continue;
    }
    const bool isGone = aVmList && member.m_liveness == Liveness::Dead &&
                        !required.contains(member.m_daemon);
    if (!isGone) {
      required[member.m_daemon] = &member;
    }
  }
  return required;
}

bool
HasDrained(const MemberView* aMember, const VmRecord& aVm)
{
  if (!aMember || aMember->m_fleetRevision < aVm.m_drainRevision) {
    return false;
  }
  const auto inFlight = aMember->m_inFlight.find(aVm.m_name);
  return inFlight == aMember->m_inFlight.end() || inFlight->second == 0;
}

}

std::set<std::string>
AcknowledgedDrains(const FleetDocument& aDocument,
                   const std::vector<MemberView>& aMembers,
                   const std::optional<std::vector<VmListing>>& aVmList)
{
  const RequiredMembers required =
    FindRequired(aDocument.m_dataCentre, aMembers, aVmList);
  std::set<std::string> drained;
  for (const auto& entry : aDocument.m_vms) {
    const VmRecord& vm = entry.second;
    const bool isAcknowledged =
      vm.m_state == VmState::Draining && vm.m_drainRevision != 0 &&
      std::ranges::all_of(required, [&vm](const auto& aEntry) {
        return HasDrained(aEntry.second, vm);
      });
    if (isAcknowledged) {
      drained.insert(entry.first);
    }
  }
  return drained;
}

}
