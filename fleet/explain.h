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

/** Data from which explanations are built; no pointer may be null. */
struct ExplainInputs
{
  const Configuration* m_configuration = nullptr;
  const std::map<std::string, FleetDocument>* m_documents = nullptr;
  const OrderDocument* m_orders = nullptr;
  const DecisionLog* m_log = nullptr;
  /** Pool reports of the last plan; empty before the first plan. */
  const std::vector<PoolReport>* m_pools = nullptr;
};

/** Response to `explain` for one VM, pool, wave or service. */
struct Explanation
{
  /** One sentence about the current state. */
  std::string m_summary;
  /** Decisions that concern the subject, newest first. */
  std::vector<Decision> m_decisions;

  /** JSON text: `{"summary", "decisions": [...]}`. */
  std::string Serialize() const;
};

/** These functions throw Error (NotFound) for an unknown name. */
Explanation
ExplainVm(const ExplainInputs& aInputs, const std::string& aVm);
Explanation
ExplainPool(const ExplainInputs& aInputs, const std::string& aPool);
Explanation
ExplainWave(const ExplainInputs& aInputs, const std::string& aWave);
Explanation
ExplainService(const ExplainInputs& aInputs, const std::string& aService);

/**
 * Returns the explanation for `explain KIND NAME`, where the kind is `vm`,
 * `pool`, `wave` or `service`. Throws Error (InvalidInput) for another kind and
 * Error (NotFound) for an unknown name.
 */
Explanation
Explain(const ExplainInputs& aInputs,
        const std::string& aKind,
        const std::string& aName);

}
