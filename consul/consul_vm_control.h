#pragma once

#include "consul/consul_client.h"
#include "consul/vm_control.h"

#include <string>

namespace bramleystall {

/** Reboots VMs by user events `vm-reboot` of the platform. */
class ConsulVmControl : public VmControl
{
public:
  explicit ConsulVmControl(const ConsulSettings& aSettings,
                           Metrics* aMetrics = nullptr);

  /**
   * Fires the event with the JSON payload `{"vm","token"}`. Throws Error
   * (Unavailable), also when the response was lost; the caller then repeats
   * the request with the same token.
   */
  void Reboot(const std::string& aVm, const std::string& aToken) override;

private:
  ConsulClient m_client;
};

}
