#include "dispatch/target_set.h"

#include <algorithm>
#include <numeric>

namespace bramleystall {

TargetSet::TargetSet(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

void
TargetSet::SetTargets(const std::vector<TargetInfo>& aTargets)
{
  for (auto& [vm, target] : m_targets) {
    target.m_isEligible = false;
  }
  for (const TargetInfo& info : aTargets) {
    Target& target = m_targets[info.m_vm];
    // A new address means a new process, whose health is not known yet.
    if (target.m_info.m_address != info.m_address) {
      target.m_health = TargetHealth();
    }
    target.m_info = info;
    target.m_isEligible = true;
  }
  std::erase_if(m_targets, [](const auto& aEntry) {
    return !aEntry.second.m_isEligible && aEntry.second.m_inFlight == 0;
  });
  m_eligibleByPool.clear();
  for (auto& [vm, target] : m_targets) {
    if (target.m_isEligible) {
      m_eligibleByPool[target.m_info.m_pool].push_back(&target);
    }
  }
}

int
TargetSet::SetAllowance(const std::string& aVm, int aAllowance)
{
  if (aAllowance > 0) {
    m_allowances[aVm] = aAllowance;
  } else {
    m_allowances.erase(aVm);
  }
  const auto found = m_targets.find(aVm);
  const int inFlight = found == m_targets.end() ? 0 : found->second.m_inFlight;
  return std::max(aAllowance, inFlight);
}

const TargetInfo*
TargetSet::Reserve(const std::string& aPool,
                   const std::vector<std::string>& aTriedVms)
{
  const auto pool = m_eligibleByPool.find(aPool);
  if (pool == m_eligibleByPool.end()) {
    return nullptr;
  }
  const auto isUntried = [&aTriedVms](const Target* aTarget) {
    return std::ranges::find(aTriedVms, aTarget->m_info.m_vm) ==
           aTriedVms.end();
  };
  const auto isUsableUntried = [&](const Target* aTarget) {
    return isUntried(aTarget) && aTarget->m_health.State() != HealthState::Out;
  };
  const bool mustBeUntried =
    !aTriedVms.empty() && std::ranges::any_of(pool->second, isUsableUntried);
  std::vector<Target*> candidates;
  for (Target* const target : pool->second) {
    if (HasFreeSlot(*target) && (!mustBeUntried || isUntried(target))) {
      candidates.push_back(target);
    }
  }
  Target* const chosen = PickLessLoaded(candidates);
  if (!chosen) {
    return nullptr;
  }
  ++chosen->m_inFlight;
  return &chosen->m_info;
}

TargetSet::Target*
TargetSet::PickLessLoaded(const std::vector<Target*>& aCandidates)
{
  if (aCandidates.empty()) {
    return nullptr;
  }
  if (aCandidates.size() == 1) {
    return aCandidates.front();
  }
  const std::size_t count = aCandidates.size();
  const std::size_t first =
    std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
  std::size_t second =
    std::uniform_int_distribution<std::size_t>(0, count - 2)(m_random);
  if (second >= first) {
    ++second;
  }
  const auto rank = [this](const Target* aTarget) {
    return std::pair(IsFailing(*aTarget), aTarget->m_inFlight);
  };
  Target* const one = aCandidates[first];
  Target* const other = aCandidates[second];
  return rank(other) < rank(one) ? other : one;
}

void
TargetSet::ReleaseSlot(Target& aTarget)
{
  --aTarget.m_inFlight;
  if (!aTarget.m_isEligible && aTarget.m_inFlight == 0) {
    const std::string vm = aTarget.m_info.m_vm;
    m_targets.erase(vm);
  }
}

void
TargetSet::Release(const std::string& aVm)
{
  const auto found = m_targets.find(aVm);
  if (found != m_targets.end()) {
    ReleaseSlot(found->second);
  }
}

void
TargetSet::Finish(const std::string& aVm,
                  TargetOutcome aOutcome,
                  absl::Time aNow)
{
  const auto found = m_targets.find(aVm);
  if (found == m_targets.end()) {
    return;
  }
  Target& target = found->second;
  target.m_health.OnOutcome(aOutcome);
  TakeOutIfFailing(target, aNow);
  ReleaseSlot(target);
}

void
TargetSet::TakeOutIfFailing(Target& aTarget, absl::Time aNow)
{
  if (aTarget.m_isEligible && IsFailing(aTarget) &&
      MayTakeOut(aTarget.m_info.m_pool)) {
    aTarget.m_health.TakeOut(aNow);
  }
}

bool
TargetSet::IsFailing(const Target& aTarget) const
{
  return aTarget.m_health.ShouldTakeOut() ||
         (aTarget.m_health.ShouldTakeOutIfOthersSucceed() &&
          OthersSucceed(aTarget));
}

bool
TargetSet::OthersSucceed(const Target& aTarget) const
{
  const auto pool = m_eligibleByPool.find(aTarget.m_info.m_pool);
  if (pool == m_eligibleByPool.end()) {
    return false;
  }
  int others = 0;
  int succeeding = 0;
  for (const Target* const other : pool->second) {
    if (other == &aTarget || other->m_health.State() == HealthState::Out) {
      continue;
    }
    ++others;
    succeeding += other->m_health.LastAttemptSucceeded() ? 1 : 0;
  }
  return succeeding > 0 && 2 * succeeding >= others;
}

bool
TargetSet::MayTakeOut(const std::string& aPool) const
{
  const auto pool = m_eligibleByPool.find(aPool);
  if (pool == m_eligibleByPool.end()) {
    return false;
  }
  const auto out = std::ranges::count_if(pool->second, [](const Target* aOne) {
    return aOne->m_health.State() == HealthState::Out;
  });
  const auto limit = static_cast<std::ptrdiff_t>(
    static_cast<double>(pool->second.size()) * kMaxOutFraction);
  return out < limit;
}

std::vector<TargetInfo>
TargetSet::StartProbes(absl::Time aNow)
{
  std::vector<TargetInfo> due;
  for (auto& [vm, target] : m_targets) {
    // kMaxOutFraction may have kept the target in rotation. It has to be probed
    // to recover, since it gets little work while it counts as failing.
    TakeOutIfFailing(target, aNow);
    if (target.m_isEligible && target.m_health.StartProbe(aNow)) {
      due.push_back(target.m_info);
    }
  }
  return due;
}

void
TargetSet::OnProbeResult(const std::string& aVm, bool aPassed, absl::Time aNow)
{
  const auto found = m_targets.find(aVm);
  if (found != m_targets.end()) {
    found->second.m_health.OnProbeResult(aPassed, aNow);
  }
}

bool
TargetSet::IsEligible(const std::string& aVm) const
{
  const auto found = m_targets.find(aVm);
  return found != m_targets.end() && found->second.m_isEligible;
}

bool
TargetSet::IsUsable(const std::string& aVm) const
{
  const auto found = m_targets.find(aVm);
  return found != m_targets.end() && found->second.m_isEligible &&
         found->second.m_health.State() != HealthState::Out;
}

bool
TargetSet::HasFreeSlot(const std::string& aPool) const
{
  const auto pool = m_eligibleByPool.find(aPool);
  return pool != m_eligibleByPool.end() &&
         std::ranges::any_of(pool->second, [this](const Target* aTarget) {
           return HasFreeSlot(*aTarget);
         });
}

int
TargetSet::AllowanceOf(const std::string& aVm) const
{
  const auto found = m_allowances.find(aVm);
  return found == m_allowances.end() ? 0 : found->second;
}

bool
TargetSet::HasFreeSlot(const Target& aTarget) const
{
  const int allowance = AllowanceOf(aTarget.m_info.m_vm);
  return aTarget.m_inFlight < aTarget.m_health.InFlightLimit(allowance);
}

int
TargetSet::Slots(const std::string& aPool) const
{
  const auto pool = m_eligibleByPool.find(aPool);
  if (pool == m_eligibleByPool.end()) {
    return 0;
  }
  return std::accumulate(
    pool->second.begin(),
    pool->second.end(),
    0,
    [this](int aSum, const Target* aTarget) {
      const int allowance = AllowanceOf(aTarget->m_info.m_vm);
      return aSum + aTarget->m_health.InFlightLimit(allowance);
    });
}

int
TargetSet::TargetCount(const std::string& aPool) const
{
  const auto pool = m_eligibleByPool.find(aPool);
  return pool == m_eligibleByPool.end() ? 0
                                        : static_cast<int>(pool->second.size());
}

std::map<std::string, int>
TargetSet::InFlightByVm() const
{
  std::map<std::string, int> inFlight;
  for (const auto& [vm, target] : m_targets) {
    if (target.m_inFlight > 0) {
      inFlight[vm] = target.m_inFlight;
    }
  }
  return inFlight;
}

std::vector<TargetStatus>
TargetSet::Status() const
{
  std::vector<TargetStatus> status;
  for (const auto& [vm, target] : m_targets) {
    status.push_back({ vm,
                       target.m_info.m_pool,
                       target.m_isEligible,
                       target.m_health.State(),
                       target.m_inFlight,
                       AllowanceOf(vm) });
  }
  return status;
}

}
