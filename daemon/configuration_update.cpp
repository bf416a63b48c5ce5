#include "daemon/configuration_update.h"

#include "platform/wire_codec.h"

#include <utility>

namespace bramleystall {

bool
UpdateConfiguration(std::optional<JobConfiguration>& aCurrent,
                    const std::string& aJson)
{
  JobConfiguration next = wire::DecodeConfiguration(aJson);
  if (aCurrent && next.m_version <= aCurrent->m_version) {
    return false;
  }
  aCurrent = std::move(next);
  return true;
}

}
