#pragma once

#include "dispatch/target_health.h"
#include "dispatch/target_info.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace bramleystall {

/** State of one target for status pages. */
struct TargetStatus
{
  std::string m_vm;
  std::string m_pool;
  /** Whether the target may receive new work (it is not leaving). */
  bool m_isEligible = false;
  HealthState m_health = HealthState::Healthy;
  int m_inFlight = 0;
  int m_allowance = 0;
};

/**
 * Targets of this daemon's data centre with their slot allowance, requests in
 * flight and health. A target that left stays known while requests are in
 * flight at it. Takes the time as an argument and has no clock.
 */
class TargetSet
{
public:
  /** Largest fraction of a pool's targets that is out for bad health at once,
   * rounded down. More would send the whole load to a minority, and failures
   * of most targets have a common cause that choosing cannot avoid. */
  static constexpr double kMaxOutFraction = 0.5;

  explicit TargetSet(std::uint64_t aSeed);

  /** Replaces the targets that may receive new work. Health and requests in
   * flight of targets that stay are kept. */
  void SetTargets(const std::vector<TargetInfo>& aTargets);

  /** Sets the slot tokens of a VM, known or not. Requests in flight are not
   * touched. Returns max(aAllowance, requests in flight). */
  int SetAllowance(const std::string& aVm, int aAllowance);

  /**
   * Reserves a slot at a target of the pool: of two random targets with a free
   * slot, one that is not failing (failing ones are in the rotation only
   * because of kMaxOutFraction), then the one with fewer requests in flight.
   * Targets in aTriedVms are not chosen while the pool has others that are not
   * out. Returns null when no slot is free.
   */
  const TargetInfo* Reserve(const std::string& aPool,
                            const std::vector<std::string>& aTriedVms = {});

  /** Returns a slot that was never used. */
  void Release(const std::string& aVm);

  /** Returns a slot after an attempt and updates the target's health. */
  void Finish(const std::string& aVm, TargetOutcome aOutcome, absl::Time aNow);

  /** Takes out failing targets that the cap kept in so far, and returns the
   * targets whose probe is due; each is marked as being probed. */
  std::vector<TargetInfo> StartProbes(absl::Time aNow);

  void OnProbeResult(const std::string& aVm, bool aPassed, absl::Time aNow);

  /** Whether the VM may receive new work. */
  bool IsEligible(const std::string& aVm) const;

  /** Whether the VM may receive new work and is not out for bad health. */
  bool IsUsable(const std::string& aVm) const;

  /** Whether a target of the pool has a free slot. */
  bool HasFreeSlot(const std::string& aPool) const;

  /** Slots that the pool's targets offer, with health taken into account. */
  int Slots(const std::string& aPool) const;

  /** Number of targets that may receive new work. */
  int TargetCount(const std::string& aPool) const;

  std::map<std::string, int> InFlightByVm() const;

  std::vector<TargetStatus> Status() const;

private:
  struct Target
  {
    TargetInfo m_info;
    bool m_isEligible = false;
    int m_inFlight = 0;
    TargetHealth m_health;
  };

  int AllowanceOf(const std::string& aVm) const;
  bool HasFreeSlot(const Target& aTarget) const;
  Target* PickLessLoaded(const std::vector<Target*>& aCandidates);
  void TakeOutIfFailing(Target& aTarget, absl::Time aNow);
  bool IsFailing(const Target& aTarget) const;
  /** Whether the last attempt succeeded at half or more of the other targets of
   * the pool: then the target is bad, and not the requests. */
  bool OthersSucceed(const Target& aTarget) const;
  bool MayTakeOut(const std::string& aPool) const;
  void ReleaseSlot(Target& aTarget);

  std::mt19937_64 m_random;
  std::map<std::string, Target> m_targets;
  std::map<std::string, int> m_allowances;
  std::map<std::string, std::vector<Target*>> m_eligibleByPool;
};

}
