#include "cli/command_context.h"
#include "cli/commands.h"
#include "core/service_file.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

ExitCode
RunValidate(CommandContext& aContext)
{
  const ConfigurationFolder folder =
    LoadConfigurationFolder(aContext.Arguments()[0]);
  aContext.PrintWarnings(folder.m_warnings);
  const std::size_t services = folder.m_configuration.m_services.size();
  aContext.Print({ { "valid", true },
                   { "services", services },
                   { "digest", folder.m_configuration.m_digest },
                   { "warnings", folder.m_warnings } },
                 absl::StrCat("valid: ",
                              services,
                              " services, digest ",
                              folder.m_configuration.m_digest,
                              ", ",
                              folder.m_warnings.size(),
                              " warnings\n"));
  return ExitCode::Success;
}

}
