#pragma once

#include "consul/consul_client.h"
#include "consul/vm_list.h"

#include <string>
#include <vector>

namespace bramleystall {

/**
 * VM list from Consul's node catalog. Node metadata: `data_centre`, `rack`,
 * `pool`, `kind` (`target` or `entry`), `leaving` (`true`), and `port` or
 * `address`.
 */
class ConsulVmList : public VmList
{
public:
  explicit ConsulVmList(const ConsulSettings& aSettings,
                        Metrics* aMetrics = nullptr);

  std::vector<VmListing> Read() override;

private:
  ConsulClient m_client;
};

}
