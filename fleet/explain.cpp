#include "fleet/explain.h"

#include "core/error.h"
#include "fleet/decision_json.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleystall {

namespace {

[[noreturn]] void
ThrowNotFound(const std::string& aKind, const std::string& aName)
{
  throw Error(ErrorCode::NotFound,
              absl::StrCat("no ", aKind, " is named '", aName, "'"));
}

template<typename Predicate>
std::vector<Decision>
SelectDecisions(const DecisionLog& aLog, Predicate aPredicate)
{
  std::vector<Decision> selected;
  std::ranges::copy_if(
    aLog.Decisions(), std::back_inserter(selected), aPredicate);
  std::ranges::reverse(selected);
  return selected;
}

const VmRecord*
FindVm(const ExplainInputs& aInputs, const std::string& aVm)
{
  for (const auto& [dataCentre, document] : *aInputs.m_documents) {
    const auto found = document.m_vms.find(aVm);
    if (found != document.m_vms.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

std::string
Describe(const VmRecord& aVm)
{
  std::string text =
    absl::StrCat("VM is ",
                 std::string(NameOf(kVmStateNames, aVm.m_state)),
                 " in pool '",
                 aVm.m_pool,
                 "', reason ",
                 aVm.m_reason);
  if (!aVm.m_targetPool.empty()) {
    absl::StrAppend(&text, ", moving to pool '", aVm.m_targetPool, "'");
  }
  if (!aVm.m_wave.empty()) {
    absl::StrAppend(&text, ", wave ", aVm.m_wave);
  }
  return text;
}

std::string
Describe(const PoolReport& aPool)
{
  return absl::StrCat("pool '",
                      aPool.m_pool,
                      "' ",
                      aPool.m_isKept ? "keeps" : "misses",
                      " its promise (margin ",
                      aPool.m_margin,
                      ", ",
                      aPool.m_spare,
                      " spare): ",
                      aPool.m_explanation);
}

}

std::string
Explanation::Serialize() const
{
  nlohmann::json decisions = nlohmann::json::array();
  std::ranges::transform(
    m_decisions, std::back_inserter(decisions), DecisionToJson);
  const nlohmann::json json = { { "summary", m_summary },
                                { "decisions", std::move(decisions) } };
  return json.dump();
}

Explanation
ExplainVm(const ExplainInputs& aInputs, const std::string& aVm)
{
  Explanation explanation;
  explanation.m_decisions =
    SelectDecisions(*aInputs.m_log, [&aVm](const Decision& aDecision) {
      return aDecision.m_vm == aVm;
    });
  const VmRecord* const vm = FindVm(aInputs, aVm);
  if (!vm && explanation.m_decisions.empty()) {
    ThrowNotFound("VM", aVm);
  }
  explanation.m_summary =
    vm ? Describe(*vm) : std::string("no document holds the VM any more");
  return explanation;
}

Explanation
ExplainPool(const ExplainInputs& aInputs, const std::string& aPool)
{
  Explanation explanation;
  explanation.m_decisions =
    SelectDecisions(*aInputs.m_log, [&aPool](const Decision& aDecision) {
      return aDecision.m_poolBefore == aPool || aDecision.m_poolAfter == aPool;
    });
  const auto report =
    std::ranges::find(*aInputs.m_pools, aPool, &PoolReport::m_pool);
  const bool isConfigured =
    aInputs.m_configuration->FindPoolOwner(aPool) ||
    aInputs.m_configuration->m_fleet.m_sparePool == aPool;
  if (report == aInputs.m_pools->end() && !isConfigured &&
      explanation.m_decisions.empty()) {
    ThrowNotFound("pool", aPool);
  }
  explanation.m_summary =
    report == aInputs.m_pools->end()
      ? absl::StrCat("no plan has covered pool '", aPool, "' yet")
      : Describe(*report);
  return explanation;
}

Explanation
ExplainWave(const ExplainInputs& aInputs, const std::string& aWave)
{
  const auto order =
    std::ranges::find(aInputs.m_orders->m_orders, aWave, &Order::m_id);
  Explanation explanation;
  explanation.m_decisions =
    SelectDecisions(*aInputs.m_log, [&aWave](const Decision& aDecision) {
      return aDecision.m_wave == aWave;
    });
  if (order == aInputs.m_orders->m_orders.end()) {
    if (explanation.m_decisions.empty()) {
      ThrowNotFound("wave", aWave);
    }
    explanation.m_summary = "the order is no longer stored";
    return explanation;
  }
  explanation.m_summary =
    absl::StrCat(std::string(NameOf(kOrderKindNames, order->m_kind)),
                 " is ",
                 std::string(NameOf(kOrderStateNames, order->m_state)),
                 order->m_detail.empty() ? "" : ": ",
                 order->m_detail);
  return explanation;
}

Explanation
ExplainService(const ExplainInputs& aInputs, const std::string& aService)
{
  const ServiceSpec* const service =
    aInputs.m_configuration->FindService(aService);
  if (!service) {
    ThrowNotFound("service", aService);
  }
  Explanation explanation = ExplainPool(aInputs, service->m_pool);
  explanation.m_summary = absl::StrCat("service '",
                                       aService,
                                       "' runs in pool '",
                                       service->m_pool,
                                       "'; ",
                                       explanation.m_summary);
  return explanation;
}

Explanation
Explain(const ExplainInputs& aInputs,
        const std::string& aKind,
        const std::string& aName)
{
  if (aKind == "vm") {
    return ExplainVm(aInputs, aName);
  }
  if (aKind == "pool") {
    return ExplainPool(aInputs, aName);
  }
  if (aKind == "wave") {
    return ExplainWave(aInputs, aName);
  }
  if (aKind == "service") {
    return ExplainService(aInputs, aName);
  }
  throw Error(
    ErrorCode::InvalidInput,
    absl::StrCat("explain takes vm, pool, wave or service, not '", aKind, "'"));
}

}
