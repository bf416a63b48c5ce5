#include "core/tool_settings.h"

#include "core/json_schema.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

ToolSettings
LoadToolSettings(const std::string& aPath)
{
  std::vector<std::string> errors;
  const nlohmann::json document =
    LoadChecked(SchemaName::ToolSettings, aPath, errors);
  ThrowIfAny(errors);
  ToolSettings settings;
  const auto& platform = document.at("platform");
  settings.m_platform.m_url = platform.at("url");
  settings.m_platform.m_timeout = absl::Milliseconds(platform.value(
    "timeout_ms", absl::ToInt64Milliseconds(settings.m_platform.m_timeout)));
  settings.m_operator = document.at("operator");
  settings.m_adminAddresses =
    document.at("admin").get<std::vector<std::string>>();
  for (std::size_t i = 0; i < settings.m_adminAddresses.size(); ++i) {
    const std::string& address = settings.m_adminAddresses[i];
    if (!IsIpv4AddressWithPort(address)) {
      errors.push_back(absl::StrCat(aPath,
                                    ": /admin/",
                                    i,
                                    ": value \"",
                                    address,
                                    "\", expected an IPv4 address and a port"));
    }
  }
  ThrowIfAny(errors);
  return settings;
}

}
