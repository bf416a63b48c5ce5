#pragma once

#include "core/metrics.h"

#include <string>

namespace bramleystall {

/**
 * Adds the label "tenant" unless the name is empty. Within one process the
 * label has at most 64 names; all others are counted as "other".
 */
MetricLabels
WithTenant(Metrics& aMetrics, MetricLabels aLabels, const std::string& aTenant);

/** Field " tenant=NAME" to append to a log line; empty for an empty name. */
std::string
TenantField(const std::string& aTenant);

}
