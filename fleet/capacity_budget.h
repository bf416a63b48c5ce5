#pragma once

#include <map>
#include <string>

namespace bramleystall {

/**
 * Capacity of one pool: what it promised, what is ready, and how many ready
 * VMs the largest failure domain holds.
 */
class CapacityBudget
{
public:
  CapacityBudget() = default;
  CapacityBudget(int aConfiguredVms, int aPromised, double aWeight);

  /** Number of VMs that the configuration gives the pool. */
  int ConfiguredVms() const { return m_configuredVms; }
  int Promised() const { return m_promised; }
  double Weight() const { return m_weight; }
  /** VMs in state ready that are healthy. */
  int Ready() const { return m_ready; }
  /** Largest number of ready VMs in one failure domain. */
  int Margin() const;
  /** Ready VMs in a failure domain. */
  int ReadyIn(const std::string& aDomain) const;
  const std::map<std::string, int>& ReadyByDomain() const
  {
    return m_readyByDomain;
  }

  /** VMs that belong to the pool or move to it, in a failure domain. */
  int PlacedIn(const std::string& aDomain) const;
  /** Whether one more VM there would enlarge the largest failure domain. */
  bool RaisesMargin(const std::string& aDomain) const;
  void AddPlaced(const std::string& aDomain, int aCount);
  /** Whether the promise survives the loss of any one failure domain. */
  bool IsProtected() const { return m_ready - Margin() >= m_promised; }
  /** Whether the promise stays protected after a ready VM leaves. */
  bool CanRelease(const std::string& aDomain) const;

  void AddReady(const std::string& aDomain, int aCount);

  /** VMs that belong to the pool or move to it and are not known as lost. */
  int m_members = 0;
  /** Members, and ready VMs that fail their probes for now. */
  int m_recordedMembers = 0;
  /** Ready VMs that are healthy or not known to be unhealthy. */
  int m_presumedReady = 0;
  /** VMs that drain in order to move to this pool. */
  int m_incoming = 0;

private:
  int m_configuredVms = 0;
  int m_promised = 0;
  double m_weight = 1;
  int m_ready = 0;
  std::map<std::string, int> m_readyByDomain;
  std::map<std::string, int> m_placedByDomain;
};

}
