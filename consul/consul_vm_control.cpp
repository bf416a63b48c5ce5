#include "consul/consul_vm_control.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

ConsulVmControl::ConsulVmControl(const ConsulSettings& aSettings,
                                 Metrics* aMetrics)
  : m_client(aSettings, aMetrics)
{
}

void
ConsulVmControl::Reboot(const std::string& aVm, const std::string& aToken)
{
  const nlohmann::json payload = { { "vm", aVm }, { "token", aToken } };
  const auto response =
    m_client.Put("reboot", "/v1/event/fire/vm-reboot", payload.dump());
  constexpr int kStatusOk = 200;
  if (response.m_status != kStatusOk) {
    m_client.CountError("reboot", absl::StrCat("status_", response.m_status));
    throw Error(
      ErrorCode::Unavailable,
      absl::StrCat("store: reboot of ", aVm, ": status ", response.m_status));
  }
}

}
