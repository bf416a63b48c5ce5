#include "fleet/decision_json.h"

#include "core/parse_name.h"
#include "fleet/fleet_plan.h"

#include <nlohmann/json.hpp>

namespace bramleystall {

nlohmann::json
DecisionToJson(const Decision& aDecision)
{
  return { { "time_ms", aDecision.m_timeMillis },
           { "data_centre", aDecision.m_dataCentre },
           { "vm", aDecision.m_vm },
           { "event", aDecision.m_event },
           { "from", NameOf(kVmStateNames, aDecision.m_from) },
           { "to", NameOf(kVmStateNames, aDecision.m_to) },
           { "pool_before", aDecision.m_poolBefore },
           { "pool_after", aDecision.m_poolAfter },
           { "reason", NameOf(kPlanReasonNames, aDecision.m_reason) },
           { "explanation", aDecision.m_explanation },
           { "ready", aDecision.m_ready },
           { "promised", aDecision.m_promised },
           { "margin", aDecision.m_margin },
           { "wave", aDecision.m_wave } };
}

Decision
DecisionFromJson(const nlohmann::json& aJson)
{
  Decision decision;
  decision.m_timeMillis = aJson.at("time_ms");
  decision.m_dataCentre = aJson.at("data_centre");
  decision.m_vm = aJson.at("vm");
  decision.m_event = aJson.at("event");
  decision.m_from = ParseName(kVmStateNames, aJson.at("from"), "decisions");
  decision.m_to = ParseName(kVmStateNames, aJson.at("to"), "decisions");
  decision.m_poolBefore = aJson.at("pool_before");
  decision.m_poolAfter = aJson.at("pool_after");
  decision.m_reason =
    ParseName(kPlanReasonNames, aJson.at("reason"), "decisions");
  decision.m_explanation = aJson.at("explanation");
  decision.m_ready = aJson.at("ready");
  decision.m_promised = aJson.at("promised");
  decision.m_margin = aJson.at("margin");
  decision.m_wave = aJson.at("wave");
  return decision;
}

}
