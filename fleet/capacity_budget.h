#pragma once

#include <map>
#include <string>

namespace bramleystall {

/**
 * Capacity of one pool: the number of promised VMs, the number of ready VMs,
 * and how these are spread over the failure domains.
 */
class CapacityBudget
{
public:
  CapacityBudget() = default;
  CapacityBudget(int aConfiguredVms, int aPromised, double aWeight);

  /** Number of VMs that the configuration assigns to the pool. */
  int ConfiguredVms() const { return m_configuredVms; }
  /** Number of ready VMs that the pool promises to its service. */
  int Promised() const { return m_promised; }
  double Weight() const { return m_weight; }
  /** Number of VMs in state ready that are healthy. */
  int Ready() const { return m_ready; }
  /** Number of ready VMs in the failure domain with the most ready VMs. */
  int Margin() const;
  /** Number of ready VMs in a failure domain. */
  int ReadyIn(const std::string& aDomain) const;
  /** Numbers of ready VMs, by failure domain. */
  const std::map<std::string, int>& ReadyByDomain() const
  {
    return m_readyByDomain;
  }

  /** Number of members of the pool in a failure domain; see m_members. */
  int PlacedIn(const std::string& aDomain) const;
  /**
   * Whether one more member in this failure domain would raise the number of
   * members in the largest domain. The first member in a domain never does.
   */
  bool RaisesMargin(const std::string& aDomain) const;
  void AddPlaced(const std::string& aDomain, int aCount);
  /** Whether the promise still holds after the loss of any failure domain. */
  bool IsProtected() const { return m_ready - Margin() >= m_promised; }
  /**
   * Whether the pool is protected after a ready VM of this failure domain has
   * left it.
   */
  bool CanRelease(const std::string& aDomain) const;

  void AddReady(const std::string& aDomain, int aCount);

  /** VMs that belong to the pool or are moving to it, without those that are
   * known to be lost. */
  int m_members = 0;
  /** Members, and also the ready VMs that fail their probes or have had no
   * usable observation for too long. */
  int m_recordedMembers = 0;
  /** Ready VMs that are healthy, or of unknown health for a short time only. */
  int m_presumedReady = 0;
  /** VMs that are being drained before they move to this pool. */
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
