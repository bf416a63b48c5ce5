#pragma once

#include <cstddef>
#include <string>

namespace bramleystall {

class TenantDirectory;

/** Tenants that have a label of their own in metrics, so that a configuration
 * with many tenants does not multiply the number of time series. */
inline constexpr std::size_t kMaxLabelledTenants = 64;

/**
 * Value of the label `tenant` in metrics: the name of one of the first
 * kMaxLabelledTenants tenants of the configuration, `other` for all further
 * ones and those that the configuration does not have, `none` for the empty
 * name of jobs without a tenant.
 */
std::string
TenantLabel(const TenantDirectory& aDirectory, const std::string& aTenant);

}
