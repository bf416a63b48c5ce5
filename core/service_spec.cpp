#include "core/service_spec.h"

#include <algorithm>

namespace bramleystall {

bool
ServiceSpec::IsIdempotent(const std::string& aMethod,
                          const std::string& aPath) const
{
  const bool methodMatches = std::ranges::find(m_idempotentMethods, aMethod) !=
                             m_idempotentMethods.end();
  return methodMatches ||
         std::ranges::any_of(m_idempotentPaths,
                             [&aPath](const std::string& aPrefix) {
                               return aPath.starts_with(aPrefix);
                             });
}

}
