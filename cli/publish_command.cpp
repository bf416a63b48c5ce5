#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/version_wait.h"
#include "consul/configuration_publisher.h"
#include "core/service_file.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace bramleystall {

namespace {

std::string
DescribeResult(const PublishResult& aResult)
{
  const Configuration& configuration = aResult.m_configuration;
  if (!aResult.m_isChanged) {
    return absl::StrCat("unchanged: version ",
                        configuration.m_version,
                        " by ",
                        configuration.m_operator,
                        " already has this content\n");
  }
  return absl::StrCat("accepted: version ",
                      configuration.m_version,
                      ", digest ",
                      configuration.m_digest,
                      " (",
                      aResult.m_change,
                      ")\n");
}

nlohmann::json
ResultToJson(const PublishResult& aResult)
{
  return { { "changed", aResult.m_isChanged },
           { "version", aResult.m_configuration.m_version },
           { "digest", aResult.m_configuration.m_digest },
           { "operator", aResult.m_configuration.m_operator },
           { "change", aResult.m_change } };
}

}

ExitCode
RunPublish(CommandContext& aContext)
{
  // The settings are read first, so that an error in them is reported even when
  // the folder has errors as well.
  const ToolSettings& settings = aContext.Settings();
  const ConfigurationFolder folder =
    LoadConfigurationFolder(aContext.Arguments()[0]);
  aContext.PrintWarnings(folder.m_warnings);
  const auto store = aContext.OpenStore();
  ConfigurationPublisher publisher(*store, aContext.Environment().m_hooks);
  const PublishResult result =
    publisher.Publish(folder.m_configuration,
                      settings.m_operator,
                      aContext.Invocation().m_expectedVersion);
  nlohmann::json json = ResultToJson(result);
  json["warnings"] = folder.m_warnings;
  const absl::Duration wait = aContext.Invocation().m_wait;
  if (wait <= absl::ZeroDuration()) {
    aContext.Print(json, DescribeResult(result));
    return ExitCode::Success;
  }
  const auto daemons = WaitForVersion(aContext, result.m_configuration, wait);
  json["daemons"] = VersionsToJson(daemons);
  const auto ready =
    std::ranges::count_if(daemons, &DaemonVersion::m_isInEffect);
  aContext.Print(json,
                 absl::StrCat(DescribeResult(result),
                              VersionsToText(daemons),
                              "in effect at ",
                              ready,
                              " of ",
                              daemons.size(),
                              " daemons\n"));
  const bool isEverywhere = static_cast<std::size_t>(ready) == daemons.size();
  return isEverywhere ? ExitCode::Success : ExitCode::Unavailable;
}

}
