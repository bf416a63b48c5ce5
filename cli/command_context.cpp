#include "cli/command_context.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <utility>

namespace bramleystall {

CommandContext::CommandContext(const ToolInvocation& aInvocation,
                               ToolEnvironment& aEnvironment,
                               std::vector<std::string> aArguments)
  : m_invocation(aInvocation)
  , m_environment(aEnvironment)
  , m_arguments(std::move(aArguments))
{
}

const ToolSettings&
CommandContext::Settings()
{
  if (!m_settings) {
    m_settings = LoadToolSettings(m_invocation.m_settingsPath);
  }
  return *m_settings;
}

std::shared_ptr<PlatformStore>
CommandContext::OpenStore()
{
  return m_environment.m_openStore(Settings().m_platform);
}

void
CommandContext::Print(const nlohmann::json& aJson, const std::string& aText)
{
  if (m_invocation.m_output == OutputFormat::Json) {
    m_environment.m_out << aJson.dump(2,
                                      ' ',
                                      false,
                                      nlohmann::json::error_handler_t::replace)
                        << "\n";
    return;
  }
  m_environment.m_out << aText;
}

void
CommandContext::PrintWarnings(const std::vector<std::string>& aWarnings)
{
  if (m_invocation.m_output == OutputFormat::Json) {
    return;
  }
  for (const std::string& warning : aWarnings) {
    m_environment.m_error << "warning: " << warning << "\n";
  }
}

}
