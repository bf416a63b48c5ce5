#pragma once

#include <string>

namespace bramleystall {

/** Operations that the platform performs on VMs. */
class VmControl
{
public:
  virtual ~VmControl() = default;

  /**
   * Requests a reboot of a VM from the platform. The request is idempotent: a
   * repeated one with the same token has no effect. Throws Error (Unavailable).
   */
  virtual void Reboot(const std::string& aVm, const std::string& aToken) = 0;
};

}
