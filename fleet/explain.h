#pragma once

#include "core/configuration.h"
#include "core/fleet_document.h"
#include "core/order_document.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_plan.h"

#include <map>
#include <string>
#include <vector>

namespace bramleystall {

/** What an explanation is made from; all pointers are required. */
struct ExplainInputs
{
  const Configuration* m_configuration = nullptr;
  const std::map<std::string, FleetDocument>* m_documents = nullptr;
  const OrderDocument* m_orders = nullptr;
  const DecisionLog* m_log = nullptr;
  /** Pool reports of the last plan; may be empty before the first. */
  const std::vector<PoolReport>* m_pools = nullptr;
};

/** Answer to one question of an operator. */
struct Explanation
{
  /** One sentence about the present state. */
  std::string m_summary;
  /** Decisions that concern the subject, newest first. */
  std::vector<Decision> m_decisions;

  /** JSON text: `{"summary", "decisions": [...]}`. */
  std::string Serialize() const;
};

/** Each throws Error (NotFound) when the subject is not known. */
Explanation
ExplainVm(const ExplainInputs& aInputs, const std::string& aVm);
Explanation
ExplainPool(const ExplainInputs& aInputs, const std::string& aPool);
Explanation
ExplainWave(const ExplainInputs& aInputs, const std::string& aWave);
Explanation
ExplainService(const ExplainInputs& aInputs, const std::string& aService);

/**
 * Answers `explain KIND NAME` for the kinds `vm`, `pool`, `wave` and
 * `service`. Throws Error (InvalidInput) for another kind.
 */
Explanation
Explain(const ExplainInputs& aInputs,
        const std::string& aKind,
        const std::string& aName);

}
