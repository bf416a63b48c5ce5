#include "core/configuration_check.h"

#include "core/json_schema.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace bramleystall {

namespace {

/** Both deployments put 4 workers into a rack (docs/design.md, 1.6). */
constexpr int kWorkersPerRack = 4;
/** The files do not name the data centres. Both deployments have at least 3;
 * with more of them, the loss of one takes fewer workers. */
constexpr int kMinDataCentres = 3;
/** Rounding alone can lift a sum of decimal fractions, such as 0.1 + 0.2, above
 * its exact value and so above 1. */
constexpr double kRoundingTolerance = 1e-9;

/** Messages truncate team names, since the schema does not restrict them. */
constexpr std::size_t kMaxShownTeamLength = 100;

/** Runs the checks and collects their errors and warnings. */
class ConfigurationChecker
{
public:
  ConfigurationChecker(const Configuration& aConfiguration,
                       const ConfigurationSources& aSources)
    : m_configuration(aConfiguration)
    , m_sources(aSources)
  {
  }

  ConfigurationFindings Run()
  {
    CheckNames();
    CheckOwners();
    CheckRoutes();
    CheckPrefixes();
    CheckTeams();
    CheckQuotas();
    CheckDeadlines();
    CheckSpareCapacity();
    return std::move(m_findings);
  }

private:
  const std::vector<ServiceSpec>& Services() const
  {
    return m_configuration.m_services;
  }

  void AddError(std::size_t aService,
                const std::string& aPointer,
                const std::string& aValue,
                const std::string& aExpected)
  {
    m_findings.m_errors.push_back(
      absl::StrCat(m_sources.m_serviceFiles[aService],
                   ": ",
                   aPointer,
                   ": value ",
                   aValue,
                   ", expected ",
                   aExpected));
  }

  static std::string Quote(const std::string& aText)
  {
    return absl::StrCat("\"", aText, "\"");
  }

  /** Requires that each value is used by one service only. */
  void RequireUnique(std::map<std::string, std::size_t>& aSeen,
                     std::size_t aService,
                     const std::string& aPointer,
                     const std::string& aValue,
                     const std::string& aWhat)
  {
    const auto [found, isNew] = aSeen.emplace(aValue, aService);
    if (isNew) {
      return;
    }
    AddError(aService,
             aPointer,
             Quote(aValue),
             absl::StrCat(
               aWhat, "; also in ", m_sources.m_serviceFiles[found->second]));
  }

  void CheckNames()
  {
    std::map<std::string, std::size_t> seen;
    for (std::size_t i = 0; i < Services().size(); ++i) {
      RequireUnique(seen,
                    i,
                    "/name",
                    Services()[i].m_name,
                    "a name that no other service has");
    }
  }

  void CheckOwners()
  {
    std::map<std::string, std::size_t> owners;
    for (std::size_t i = 0; i < Services().size(); ++i) {
      const ServiceSpec& service = Services()[i];
      if (service.OwnsPool()) {
        RequireUnique(owners,
                      i,
                      "/pool",
                      service.m_pool,
                      "a pool that no other service owns by \"pool_workers\"");
      }
    }
    for (std::size_t i = 0; i < Services().size(); ++i) {
      CheckPool(i, owners);
    }
  }

  void CheckPool(std::size_t aIndex,
                 const std::map<std::string, std::size_t>& aOwners)
  {
    const ServiceSpec& service = Services()[aIndex];
    if (service.m_pool == m_configuration.m_fleet.m_sparePool) {
      AddError(aIndex,
               "/pool",
               Quote(service.m_pool),
               "a pool other than the spare pool");
      return;
    }
    const auto owner = aOwners.find(service.m_pool);
    if (owner == aOwners.end()) {
      AddError(aIndex,
               "/pool",
               Quote(service.m_pool),
               "a pool that some service owns by \"pool_workers\"");
      return;
    }
    if (service.OwnsPool() && service.m_availabilityBudget <= 0) {
      m_findings.m_errors.push_back(
        absl::StrCat(m_sources.m_serviceFiles[aIndex],
                     ": /availability_budget: missing, expected a number over "
                     "0 and at most 1, since the service owns its pool"));
    }
    // The pool keeps the budget of its owner, so a higher budget of another
    // service would not be kept.
    const ServiceSpec& pool = Services()[owner->second];
    if (service.m_availabilityBudget > pool.m_availabilityBudget &&
        pool.m_availabilityBudget > 0) {
      AddError(aIndex,
               "/availability_budget",
               absl::StrCat(service.m_availabilityBudget),
               absl::StrCat("at most ",
                            pool.m_availabilityBudget,
                            ", the budget of the pool's owner ",
                            pool.m_name));
    }
  }

  void CheckRoutes()
  {
    std::map<std::string, std::size_t> hosts;
    std::map<std::string, std::size_t> prefixes;
    for (std::size_t i = 0; i < Services().size(); ++i) {
      const ServiceSpec& service = Services()[i];
      for (std::size_t h = 0; h < service.m_hosts.size(); ++h) {
        RequireUnique(hosts,
                      i,
                      absl::StrCat("/hosts/", h),
                      service.m_hosts[h],
                      "a host that is listed once");
      }
      if (!service.m_pathPrefix.empty()) {
        RequireUnique(prefixes,
                      i,
                      "/path_prefix",
                      service.m_pathPrefix,
                      "a path prefix that no other service has");
      }
      if (service.m_hosts.empty() && service.m_pathPrefix.empty()) {
        m_findings.m_errors.push_back(absl::StrCat(
          m_sources.m_serviceFiles[i],
          ": /: no request reaches the service, expected \"hosts\" or "
          "\"path_prefix\""));
      }
    }
  }

  void AddPrefixWarning(std::size_t aService,
                        const std::string& aPointer,
                        const std::string& aPrefix,
                        const std::string& aText)
  {
    m_findings.m_warnings.push_back(
      absl::StrCat(m_sources.m_serviceFiles[aService],
                   ": ",
                   aPointer,
                   ": value ",
                   Quote(aPrefix),
                   " ",
                   aText));
  }

  /** A prefix without a final slash also matches longer names. For idempotent
   * paths, that could repeat a request that must run only once. */
  void CheckPrefixes()
  {
    const auto warnIfNoFinalSlash = [this](std::size_t aService,
                                           const std::string& aPointer,
                                           const std::string& aPrefix) {
      if (!aPrefix.empty() && !aPrefix.ends_with('/')) {
        AddPrefixWarning(
          aService,
          aPointer,
          aPrefix,
          absl::StrCat("also matches ", aPrefix, "..., expected a final /"));
      }
    };
    for (std::size_t i = 0; i < Services().size(); ++i) {
      const ServiceSpec& service = Services()[i];
      warnIfNoFinalSlash(i, "/path_prefix", service.m_pathPrefix);
      for (std::size_t p = 0; p < service.m_idempotentPaths.size(); ++p) {
        const std::string& path = service.m_idempotentPaths[p];
        const std::string pointer = absl::StrCat("/idempotent/paths/", p);
        warnIfNoFinalSlash(i, pointer, path);
        if (service.m_hosts.empty() &&
            !path.starts_with(service.m_pathPrefix)) {
          AddPrefixWarning(
            i,
            pointer,
            path,
            absl::StrCat("matches no request of the service, expected a path "
                         "under ",
                         service.m_pathPrefix));
        }
      }
    }
  }

  void CheckTeams()
  {
    const auto& quotas = m_configuration.m_fleet.m_teamQuotas;
    std::set<std::string> used;
    for (std::size_t i = 0; i < Services().size(); ++i) {
      const std::string& team = Services()[i].m_team;
      used.insert(team);
      if (!quotas.contains(team)) {
        AddError(
          i,
          "/team",
          Quote(team),
          absl::StrCat("a team of \"team_quotas\" in ", m_sources.m_fleetFile));
      }
    }
    for (const auto& [team, quota] : quotas) {
      if (!used.contains(team)) {
        m_findings.m_warnings.push_back(
          absl::StrCat(m_sources.m_fleetFile,
                       ": /team_quotas/",
                       ToPrintableLine(team, kMaxShownTeamLength),
                       ": no service names this team"));
      }
    }
  }

  /** A quota is a share of each pool's slots, so the sum is checked for the
   * teams that share a pool. */
  void CheckQuotas()
  {
    std::map<std::string, std::set<std::string>> teams;
    for (const ServiceSpec& service : Services()) {
      teams[service.m_pool].insert(service.m_team);
    }
    const auto& quotas = m_configuration.m_fleet.m_teamQuotas;
    for (const auto& [pool, names] : teams) {
      double sum = 0;
      for (const std::string& team : names) {
        const auto quota = quotas.find(team);
        sum += quota == quotas.end() ? 0 : quota->second;
      }
      if (sum > 1 + kRoundingTolerance) {
        m_findings.m_errors.push_back(
          absl::StrCat(m_sources.m_fleetFile,
                       ": /team_quotas: the quotas of the teams in pool ",
                       pool,
                       " add up to ",
                       sum,
                       ", expected at most 1"));
      }
    }
  }

  void CheckDeadlines()
  {
    for (std::size_t i = 0; i < Services().size(); ++i) {
      const ServiceSpec& service = Services()[i];
      if (service.m_defaultDeadline > service.m_maxDeadline) {
        AddError(
          i,
          "/default_deadline_ms",
          absl::StrCat(absl::ToInt64Milliseconds(service.m_defaultDeadline)),
          absl::StrCat("at most \"max_deadline_ms\", ",
                       absl::ToInt64Milliseconds(service.m_maxDeadline)));
      }
    }
  }

  /** Most workers of a pool that the loss of one failure domain removes. */
  int MaxWorkersLost(int aWorkers) const
  {
    switch (m_configuration.m_fleet.m_survive) {
      case FailureDomain::Vm:
        return 1;
      case FailureDomain::Rack:
        return std::min(kWorkersPerRack, aWorkers);
      case FailureDomain::DataCentre:
        return (aWorkers + kMinDataCentres - 1) / kMinDataCentres;
    }
    return 1;
  }

  /** Spares that a pool needs to keep its budget when it loses one failure
   * domain. */
  int RequiredSpares(const ServiceSpec& aOwner) const
  {
    const int promised = static_cast<int>(std::ceil(
      aOwner.m_availabilityBudget * aOwner.m_poolWorkers - kRoundingTolerance));
    const int remaining =
      aOwner.m_poolWorkers - MaxWorkersLost(aOwner.m_poolWorkers);
    return std::max(0, promised - remaining);
  }

  void CheckSpareCapacity()
  {
    const FleetSpec& fleet = m_configuration.m_fleet;
    const std::string domain(NameOf(kFailureDomainNames, fleet.m_survive));
    int total = 0;
    for (std::size_t i = 0; i < Services().size(); ++i) {
      if (!Services()[i].OwnsPool()) {
        continue;
      }
      const int needed = RequiredSpares(Services()[i]);
      total += needed;
      if (needed > fleet.m_spareWorkers) {
        m_findings.m_warnings.push_back(
          absl::StrCat(m_sources.m_serviceFiles[i],
                       ": /availability_budget: pool ",
                       Services()[i].m_pool,
                       " cannot keep ",
                       Services()[i].m_availabilityBudget,
                       " when it loses one ",
                       domain,
                       "; it needs ",
                       needed,
                       " spare workers and there are ",
                       fleet.m_spareWorkers));
      }
    }
    if (total > fleet.m_spareWorkers) {
      m_findings.m_warnings.push_back(
        absl::StrCat(m_sources.m_fleetFile,
                     ": /spare_workers: value ",
                     fleet.m_spareWorkers,
                     ", but all pools together need ",
                     total,
                     " spare workers to keep their budgets when each may lose "
                     "one ",
                     domain));
    }
  }

  const Configuration& m_configuration;
  const ConfigurationSources& m_sources;
  ConfigurationFindings m_findings;
};

}

ConfigurationFindings
CheckConfiguration(const Configuration& aConfiguration,
                   const ConfigurationSources& aSources)
{
  return ConfigurationChecker(aConfiguration, aSources).Run();
}

}
