#pragma once

#include "core/fleet_document.h"
#include "core/order_document.h"
#include "core/vm_record.h"
#include "fleet/plan_reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bramleystall {

/** One change of a VM record, with the capacity figures behind it. */
struct Decision
{
  std::int64_t m_timeMillis = 0;
  std::string m_dataCentre;
  std::string m_vm;
  /** Event of the state chart; empty for an adoption and for an update of the
   * record without a transition. */
  std::string m_event;
  VmState m_from = VmState::Joining;
  VmState m_to = VmState::Joining;
  std::string m_poolBefore;
  std::string m_poolAfter;
  PlanReason m_reason = PlanReason::Adopted;
  std::string m_explanation;
  /** Ready, promised and margin of the VM's pool before the change. */
  int m_ready = 0;
  int m_promised = 0;
  int m_margin = 0;
  std::string m_wave;
};

/** State of one pool's promise after a plan. */
struct PoolReport
{
  std::string m_pool;
  int m_promised = 0;
  int m_ready = 0;
  /** Ready VMs in the largest failure domain. */
  int m_margin = 0;
  /** Ready VMs of the spare pool. */
  int m_spare = 0;
  /** Whether at least the promised number of VMs is ready. */
  bool m_isKept = false;
  /** Number of ready VMs that are missing from the promised number. */
  int m_shortage = 0;
  /** Why the promise holds, or what would restore it. */
  std::string m_explanation;
};

/** Documents that the decider writes, and reboots that it requests. */
struct FleetPlan
{
  /**
   * Changed documents only, by data centre. Revision, term and writer token are
   * those of the snapshot; the writer replaces them.
   */
  std::map<std::string, FleetDocument> m_changedDocuments;
  std::vector<Decision> m_decisions;
  /** VM and reboot token of each requested reboot; a request is repeated in
   * every plan until the VM has returned. */
  std::vector<std::pair<std::string, std::string>> m_reboots;
  /** Set only if the state or the detail of an order has changed. */
  std::optional<OrderDocument> m_changedOrders;
  std::vector<PoolReport> m_pools;
  /** Number of spare VMs needed now for the worst failure domain, the failures
   * expected during a repair, and the open waves. */
  int m_sparesNeeded = 0;
};

}
