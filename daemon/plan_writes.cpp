#include "daemon/plan_writes.h"

#include "consul/order_writer.h"
#include "daemon/fleet_state.h"
#include "daemon/store_keys.h"
#include "fleet/fleet_plan.h"

namespace bramleystall {

namespace {

bool
IsDraining(const FleetDocument& aDocument, const std::string& aVm)
{
  const auto found = aDocument.m_vms.find(aVm);
  return found != aDocument.m_vms.end() &&
         found->second.m_state == VmState::Draining;
}

void
SetDrainRevisions(const FleetDocument& aBefore, FleetDocument& aAfter)
{
  for (auto& [name, vm] : aAfter.m_vms) {
    if (vm.m_state == VmState::Draining && !IsDraining(aBefore, name)) {
      vm.m_drainRevision = aAfter.m_revision;
    }
  }
}

StoreWrite
MakeDocumentWrite(const FleetState& aState,
                  const std::string& aDataCentre,
                  FleetDocument aDocument,
                  std::uint64_t aTerm,
                  const std::string& aWriterToken)
{
  const FleetDocument& before = aState.m_documents.at(aDataCentre);
  aDocument.m_dataCentre = aDataCentre;
  aDocument.m_revision = before.m_revision + 1;
  aDocument.m_term = aTerm;
  aDocument.m_writerToken = aWriterToken;
  SetDrainRevisions(before, aDocument);
  return { FleetDocumentKey(aDataCentre),
           aDocument.Serialize(),
           aState.m_documentRevisions.at(aDataCentre) };
}

}

std::vector<StoreWrite>
MakePlanWrites(const FleetState& aState,
               const FleetPlan& aPlan,
               std::uint64_t aTerm,
               const std::string& aWriterToken)
{
  std::vector<StoreWrite> writes;
  for (const auto& [dataCentre, document] : aPlan.m_changedDocuments) {
    writes.push_back(
      MakeDocumentWrite(aState, dataCentre, document, aTerm, aWriterToken));
  }
  if (aPlan.m_changedOrders) {
    OrderDocument orders = *aPlan.m_changedOrders;
    orders.m_revision = aState.m_orders.m_revision + 1;
    orders.m_writerToken = aWriterToken;
    writes.push_back(
      { OrderWriter::kKey, orders.Serialize(), aState.m_ordersRevision });
  }
  if (!aPlan.m_decisions.empty()) {
    DecisionLog log = aState.m_decisions;
    log.Append(aPlan.m_decisions);
    log.m_revision = aState.m_decisions.m_revision + 1;
    log.m_writerToken = aWriterToken;
    writes.push_back(
      { kDecisionsKey, log.Serialize(), aState.m_decisionsRevision });
  }
  return writes;
}

}
