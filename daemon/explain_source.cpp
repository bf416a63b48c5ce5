#include "daemon/explain_source.h"

#include "consul/order_writer.h"
#include "core/error.h"
#include "daemon/store_keys.h"
#include "fleet/explain.h"

namespace bramleystall {

ExplainSource::ExplainSource(PlatformStore& aStore)
  : m_store(aStore)
{
}

std::optional<std::string>
ExplainSource::Read(const std::string& aKey)
{
  std::optional<std::string> text;
  try {
    if (const auto value = m_store.Get(aKey)) {
      text = value->m_value;
    }
  } catch (const Error&) {
    const std::lock_guard lock(m_mutex);
    return m_cachedValues[aKey];
  }
  const std::lock_guard lock(m_mutex);
  m_cachedValues[aKey] = text;
  return text;
}

std::string
ExplainSource::MakeExplanation(const Configuration& aConfiguration,
                               const std::vector<std::string>& aDataCentres,
                               const std::vector<PoolReport>& aPools,
                               const std::string& aKind,
                               const std::string& aName)
{
  std::map<std::string, FleetDocument> documents;
  for (const std::string& dataCentre : aDataCentres) {
    const auto text = Read(FleetDocumentKey(dataCentre));
    if (text) {
      documents[dataCentre] = FleetDocument::Parse(*text);
    }
  }
  const auto ordersText = Read(OrderWriter::kKey);
  const OrderDocument orders =
    ordersText ? OrderDocument::Parse(*ordersText) : OrderDocument{};
  const auto logText = Read(kDecisionsKey);
  const DecisionLog log =
    logText ? DecisionLog::Parse(*logText) : DecisionLog{};
  return Explain({ &aConfiguration, &documents, &orders, &log, &aPools },
                 aKind,
                 aName)
    .Serialize();
}

}
