#pragma once

#include "consul/platform_store.h"
#include "core/configuration.h"
#include "fleet/fleet_plan.h"

#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Serves `explain` requests from the documents in the store. While the store is
 * unreachable, it uses the documents that it read last.
 */
class ExplainSource
{
public:
  /** The store must outlive the object. */
  explicit ExplainSource(PlatformStore& aStore);

  /** JSON text of the explanation. Throws Error (NotFound, InvalidInput). */
  std::string MakeExplanation(const Configuration& aConfiguration,
                              const std::vector<std::string>& aDataCentres,
                              const std::vector<PoolReport>& aPools,
                              const std::string& aKind,
                              const std::string& aName);

private:
  /** Value of a key: the stored one, or the cached one while the store is
   * unreachable. */
  std::optional<std::string> Read(const std::string& aKey);

  PlatformStore& m_store;
  std::mutex m_mutex;
  std::map<std::string, std::optional<std::string>> m_cachedValues;
};

}
