#pragma once

#include "cli/exit_code.h"
#include "cli/tool_environment.h"
#include "cli/tool_invocation.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** What a command works with: its arguments, settings and output. */
class CommandContext
{
public:
  CommandContext(const ToolInvocation& aInvocation,
                 ToolEnvironment& aEnvironment,
                 std::vector<std::string> aArguments);

  /** Arguments after the words of the command. */
  const std::vector<std::string>& Arguments() const { return m_arguments; }
  const ToolInvocation& Invocation() const { return m_invocation; }
  ToolEnvironment& Environment() { return m_environment; }

  /** Settings, read at the first use. Throws Error (InvalidInput). */
  const ToolSettings& Settings();

  /** Store of the settings. */
  std::shared_ptr<PlatformStore> OpenStore();

  /** Prints the JSON form or the text form, as the invocation asks. */
  void Print(const nlohmann::json& aJson, const std::string& aText);

  /** Prints warnings to the error stream in the text form; the JSON form has
   * them in its object. */
  void PrintWarnings(const std::vector<std::string>& aWarnings);

private:
  const ToolInvocation& m_invocation;
  ToolEnvironment& m_environment;
  std::vector<std::string> m_arguments;
  std::optional<ToolSettings> m_settings;
};

}
