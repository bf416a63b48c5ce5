#pragma once

#include "core/enum_names.h"

namespace bramleystall {

/** Reason of a decision, stored with the VM record and the decision. */
enum class PlanReason
{
  Adopted,
  ProbePassed,
  DrainAcknowledged,
  Maintenance,
  RebootRequested,
  RebootObservedDown,
  RebootReturned,
  RebootTimedOut,
  ProbationFailed,
  Maintained,
  HealthFailed,
  JoinTimedOut,
  Vanished,
  ReplaceLost,
  WaveLoan,
  SurplusReturned,
  OperatorMove,
  OperatorRestore,
  Reassigned,
  BudgetRestored,
  TargetPoolRemoved,
  AutomaticRepair,
  AutomaticRestore,
  AddressChanged,
};

inline constexpr EnumNames<PlanReason, 24> kPlanReasonNames = { {
  { PlanReason::Adopted, "adopted" },
  { PlanReason::ProbePassed, "probe_passed" },
  { PlanReason::DrainAcknowledged, "drain_acknowledged" },
  { PlanReason::Maintenance, "maintenance" },
  { PlanReason::RebootRequested, "reboot_requested" },
  { PlanReason::RebootObservedDown, "reboot_observed_down" },
  { PlanReason::RebootReturned, "reboot_returned" },
  { PlanReason::RebootTimedOut, "reboot_timed_out" },
  { PlanReason::ProbationFailed, "probation_failed" },
  { PlanReason::Maintained, "maintained" },
  { PlanReason::HealthFailed, "health_failed" },
  { PlanReason::JoinTimedOut, "join_timed_out" },
  { PlanReason::Vanished, "vanished" },
  { PlanReason::ReplaceLost, "replace_lost" },
  { PlanReason::WaveLoan, "wave_loan" },
  { PlanReason::SurplusReturned, "surplus_returned" },
  { PlanReason::OperatorMove, "operator_move" },
  { PlanReason::OperatorRestore, "operator_restore" },
  { PlanReason::Reassigned, "reassigned" },
  { PlanReason::BudgetRestored, "budget_restored" },
  { PlanReason::TargetPoolRemoved, "target_pool_removed" },
  { PlanReason::AutomaticRepair, "automatic_repair" },
  { PlanReason::AutomaticRestore, "automatic_restore" },
  { PlanReason::AddressChanged, "address_changed" },
} };

}
