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

/** Status of one target as shown by status pages. */
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
 * flight and health. A removed target is kept until its last request in flight
 * ends. Takes the time as an argument and has no clock.
 */
class TargetSet
{
public:
  /** Maximum fraction of a pool's targets out of rotation at the same time,
   * rounded down to whole targets. A higher fraction would send the whole load
   * to a minority; and if most targets fail, they have a common cause, which
   * the choice of another target does not avoid. */
  static constexpr double kMaxOutFraction = 0.5;

  explicit TargetSet(std::uint64_t aSeed);

  /** Replaces the targets that may receive new work. Targets that stay keep
   * their requests in flight, and their health if their address is the same. */
  void SetTargets(const std::vector<TargetInfo>& aTargets);

  /** Sets the number of slot tokens of a VM, which need not be a target. Does
   * not affect requests in flight. Returns max(aAllowance, requests in flight).
   */
  int SetAllowance(const std::string& aVm, int aAllowance);

  /**
   * Reserves a slot at a target of the pool. Compares two random targets with a
   * free slot and prefers one that is not failing (failing targets are in
   * rotation only because of kMaxOutFraction), then the one with fewer requests
   * in flight. Targets in aTriedVms are not chosen while the pool has others
   * that are not out. Returns null if there is no such target with a free slot.
   */
  const TargetInfo* Reserve(const std::string& aPool,
                            const std::vector<std::string>& aTriedVms = {});

  /** Releases a reserved slot to which no request was sent. */
  void Release(const std::string& aVm);

  /** Releases a slot after an attempt and updates the target's health. */
  void Finish(const std::string& aVm, TargetOutcome aOutcome, absl::Time aNow);

  /** Takes failing targets out of rotation that kMaxOutFraction has kept in so
   * far. Returns the targets whose probe is due and marks them as being probed.
   */
  std::vector<TargetInfo> StartProbes(absl::Time aNow);

  void OnProbeResult(const std::string& aVm, bool aPassed, absl::Time aNow);

  /** Whether the VM may receive new work. */
  bool IsEligible(const std::string& aVm) const;

  /** Whether the VM may receive new work and is not out of rotation. */
  bool IsUsable(const std::string& aVm) const;

  /** Whether a target of the pool has a free slot. */
  bool HasFreeSlot(const std::string& aPool) const;

  /** Total number of slots of the pool's targets, limited by their health. */
  int Slots(const std::string& aPool) const;

  /** Number of targets that may receive new work, including those that are out
   * of rotation. */
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
   * the pool that are in rotation. If so, the errors are caused by the target
   * and not by the requests. */
  bool OthersSucceed(const Target& aTarget) const;
  bool MayTakeOut(const std::string& aPool) const;
  void ReleaseSlot(Target& aTarget);

  std::mt19937_64 m_random;
  std::map<std::string, Target> m_targets;
  std::map<std::string, int> m_allowances;
  std::map<std::string, std::vector<Target*>> m_eligibleByPool;
};

}
