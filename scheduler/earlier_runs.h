#pragma once

#include "core/resources.h"

#include <optional>
#include <set>
#include <string>

namespace bramleystall {

/** Tasks of a previous owner's job that is no longer active; they may still
 * run. */
struct EarlierRuns
{
  std::string m_tenant;
  Resources m_resources;
  /** Workers that may run them; all unresolved ones if it is unset. */
  std::optional<std::set<std::string>> m_workers;
};

}
