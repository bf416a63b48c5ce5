#pragma once

#include "core/fleet_document.h"
#include "core/order_document.h"
#include "fleet/decision_log.h"

#include <cstdint>
#include <map>
#include <string>

namespace bramleystall {

/** Documents that the decider changes, with their revisions in the store. */
struct FleetState
{
  /** By data centre; a document that could not be read is absent. */
  std::map<std::string, FleetDocument> m_documents;
  /** Store revision by data centre; 0 for a document never written. */
  std::map<std::string, std::uint64_t> m_documentRevisions;
  OrderDocument m_orders;
  std::uint64_t m_ordersRevision = 0;
  DecisionLog m_decisions;
  std::uint64_t m_decisionsRevision = 0;
};

}
