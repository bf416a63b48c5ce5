#include "core/configuration.h"

#include <algorithm>

namespace bramleystall {

namespace {

template<typename Predicate>
const ServiceSpec*
FindIf(const std::vector<ServiceSpec>& aServices, Predicate aPredicate)
{
  const auto found = std::ranges::find_if(aServices, aPredicate);
  return found == aServices.end() ? nullptr : &*found;
}

}

const ServiceSpec*
Configuration::FindService(std::string_view aName) const
{
  return FindIf(m_services, [aName](const ServiceSpec& aService) {
    return aService.m_name == aName;
  });
}

const ServiceSpec*
Configuration::FindPoolOwner(std::string_view aPool) const
{
  return FindIf(m_services, [aPool](const ServiceSpec& aService) {
    return aService.m_pool == aPool && aService.OwnsPool();
  });
}

const ServiceSpec*
Configuration::Route(std::string_view aHost, std::string_view aPath) const
{
  const ServiceSpec* const byHost =
    FindIf(m_services, [aHost](const ServiceSpec& aService) {
      return std::ranges::find(aService.m_hosts, aHost) !=
             aService.m_hosts.end();
    });
  if (byHost) {
    return byHost;
  }
  const ServiceSpec* best = nullptr;
  for (const ServiceSpec& service : m_services) {
    const bool matches =
      !service.m_pathPrefix.empty() && aPath.starts_with(service.m_pathPrefix);
    if (matches &&
        (!best || service.m_pathPrefix.size() > best->m_pathPrefix.size())) {
      best = &service;
    }
  }
  return best;
}

}
