#pragma once

#include <string>

namespace bramleystall {

/** Orders that the platform carries out on VMs. */
class VmControl
{
public:
  virtual ~VmControl() = default;

  /**
   * Asks the platform to reboot a VM. A request with a token that was seen
   * before has no effect. Throws Error (Unavailable).
   */
  virtual void Reboot(const std::string& aVm, const std::string& aToken) = 0;
};

}
