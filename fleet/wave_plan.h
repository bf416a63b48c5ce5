#pragma once

#include "fleet/move_plan.h"

#include <map>
#include <string>
#include <vector>

namespace bramleystall {

class FleetView;
struct Order;
struct VmView;

/** Progress of one order that maintains VMs: a wave, or a single drain.
 */
class WavePlan
{
public:
  WavePlan(FleetView& aView, Order& aOrder);

  /** Adds the pools that still have VMs to maintain. */
  void AddPoolsInMaintenance(PoolsInMaintenance& aPoolsInMaintenance) const;
  /** Drains as many VMs as the budgets allow and lends spares. */
  void Advance(const PoolsInMaintenance& aPoolsInMaintenance);
  /** Spare VMs that would let blocked pools continue. */
  int LoansWanted() const { return m_loansWanted; }

private:
  bool IsInScope(const VmView& aVm) const;
  void Classify(VmView& aVm);
  /** Whether a maintained VM failed so soon that its reboot may be the cause.
   * Later failures do not count against the wave. */
  bool FailedSoonAfterReboot(const VmView& aVm) const;
  bool ExceedsFailureLimit() const;
  bool DrainOne(const std::string& aPool);
  void DrainPools();
  /** VMs of one pool that the wave has before it or out of service. */
  struct PoolWork
  {
    int m_remaining = 0;
    int m_outOfService = 0;
  };
  /** Work of the pools that a loan would help. */
  std::map<std::string, PoolWork> CountWork() const;
  /** Ready spare VMs beyond what the worst failure domain would need. */
  int LendableSpares() const;
  /** VMs that could be lent now, from the spares and from other surpluses. */
  int CountLendableVms(const PoolsInMaintenance& aPoolsInMaintenance) const;
  bool LendTo(const std::string& aPool,
              const PoolsInMaintenance& aPoolsInMaintenance,
              bool aMustKeepMargin);
  /** Lends one VM to the slowest pool; drops the pool when it gets none. */
  bool LendOnce(std::map<std::string, PoolWork>& aWork,
                const PoolsInMaintenance& aPoolsInMaintenance,
                bool aMustKeepMargin);
  void Lend(const PoolsInMaintenance& aPoolsInMaintenance);
  void SetState();
  std::string BlockedDetail() const;
  std::string ProgressDetail() const;

  FleetView& m_view;
  Order& m_order;
  /** VMs that can be drained when the budget allows. */
  std::vector<VmView*> m_remaining;
  /** VMs that drain, reboot or are in probation, whatever took them. */
  std::map<std::string, int> m_outOfServiceByDataCentre;
  int m_waiting = 0;
  int m_outOfService = 0;
  int m_maintained = 0;
  int m_failed = 0;
  int m_skipped = 0;
  int m_loansWanted = 0;
  int m_loans = 0;
};

}
