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

/** One change of a VM, with the inputs that led to it. */
struct Decision
{
  std::int64_t m_timeMillis = 0;
  std::string m_dataCentre;
  std::string m_vm;
  /** Event of the state chart; empty for an adoption or a note. */
  std::string m_event;
  VmState m_from = VmState::Joining;
  VmState m_to = VmState::Joining;
  std::string m_poolBefore;
  std::string m_poolAfter;
  PlanReason m_reason = PlanReason::Adopted;
  std::string m_explanation;
  /** Inputs, of the pool before the change. */
  int m_ready = 0;
  int m_promised = 0;
  int m_margin = 0;
  std::string m_wave;
};

/** State of one pool's guarantee after a plan. */
struct PoolReport
{
  std::string m_pool;
  int m_promised = 0;
  int m_ready = 0;
  /** Ready VMs in the largest failure domain. */
  int m_margin = 0;
  /** Ready VMs of the spare pool that could be moved in. */
  int m_spare = 0;
  /** Whether at least the promised number of VMs is ready. */
  bool m_isKept = false;
  /** Ready VMs that are missing from the promise. */
  int m_shortage = 0;
  /** What would restore the guarantee, or why it holds. */
  std::string m_explanation;
};

/** What the decider writes and asks for. */
struct FleetPlan
{
  /**
   * Only documents that change. Revision, term and writer token are those of
   * the snapshot; the writer sets them.
   */
  std::map<std::string, FleetDocument> m_changedDocuments;
  std::vector<Decision> m_decisions;
  /** VM and token, requested in each plan until the VM has returned. */
  std::vector<std::pair<std::string, std::string>> m_reboots;
  std::optional<OrderDocument> m_changedOrders;
  std::vector<PoolReport> m_pools;
  /** Spare VMs needed now for the worst failure domain and open waves. */
  int m_sparesNeeded = 0;
};

}
