#pragma once

#include "fleet/move_plan.h"

#include <map>
#include <string>
#include <vector>

namespace bramleystall {

class FleetView;
struct Order;
struct VmView;

/** Progress of one maintenance order: a wave, or the drain of a single VM. */
class WavePlan
{
public:
  WavePlan(FleetView& aView, Order& aOrder);

  /** Adds the pools that still have VMs to drain for this order. */
  void AddPoolsInMaintenance(PoolsInMaintenance& aPoolsInMaintenance) const;
  /**
   * Drains as many VMs as the budgets allow, lends VMs to pools that cannot
   * release any more, and updates the order.
   */
  void Advance(const PoolsInMaintenance& aPoolsInMaintenance);
  /** Number of loans needed, one for each pool that a loan would help. */
  int LoansWanted() const { return m_loansWanted; }

private:
  bool IsInScope(const VmView& aVm) const;
  void Classify(VmView& aVm);
  /** Whether a maintained VM failed within the reboot time-out, so that its
   * reboot may be the cause. Later failures do not count against the wave. */
  bool FailedSoonAfterReboot(const VmView& aVm) const;
  /** Whether the wave stops because too many rebooted VMs have failed. */
  bool ExceedsFailureLimit() const;
  /** Drains one VM of a pool; false if none may be drained now. */
  bool DrainOne(const std::string& aPool);
  void DrainPools();
  /** Numbers of VMs of one pool that the wave has yet to drain, or that it has
   * taken out of service. */
  struct PoolWork
  {
    int m_remaining = 0;
    int m_outOfService = 0;
  };
  /** Remaining work, by pool, of the pools that a loan would help. */
  std::map<std::string, PoolWork> CountWork() const;
  /** Ready spares that the loss of the worst failure domain would not need. */
  int LendableSpares() const;
  /** Number of VMs that could be lent now: spares and surpluses of pools. */
  int CountLendableVms(const PoolsInMaintenance& aPoolsInMaintenance) const;
  bool LendTo(const std::string& aPool,
              const PoolsInMaintenance& aPoolsInMaintenance,
              bool aMustKeepMargin);
  /**
   * Lends one VM to the pool that would take longest, and removes the pool from
   * aWork if it cannot get one or needs no more. Returns whether a VM was lent.
   */
  bool LendOnce(std::map<std::string, PoolWork>& aWork,
                const PoolsInMaintenance& aPoolsInMaintenance,
                bool aMustKeepMargin);
  void Lend(const PoolsInMaintenance& aPoolsInMaintenance);
  void SetState();
  std::string BlockedDetail() const;
  std::string ProgressDetail() const;

  FleetView& m_view;
  Order& m_order;
  /** VMs in service that are yet to be drained. */
  std::vector<VmView*> m_remaining;
  /** Number of VMs that drain, reboot or are in probation, for any reason, by
   * data centre. */
  std::map<std::string, int> m_outOfServiceByDataCentre;
  /** VMs to maintain that are neither in service nor known to be lost. */
  int m_waiting = 0;
  int m_outOfService = 0;
  int m_maintained = 0;
  int m_failed = 0;
  int m_skipped = 0;
  int m_loansWanted = 0;
  /** VMs that are moving into pools that a loan would help. */
  int m_loans = 0;
};

}
