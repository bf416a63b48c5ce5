#pragma once

#include "cli/exit_code.h"
#include "cli/tool_environment.h"
#include "cli/tool_invocation.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Arguments, settings, store and output of a command. */
class CommandContext
{
public:
  CommandContext(const ToolInvocation& aInvocation,
                 ToolEnvironment& aEnvironment,
                 std::vector<std::string> aArguments);

  /** Arguments after the name of the command, without flags. */
  const std::vector<std::string>& Arguments() const { return m_arguments; }
  const ToolInvocation& Invocation() const { return m_invocation; }
  ToolEnvironment& Environment() { return m_environment; }

  /** Returns the settings, loaded on first use. Throws Error (InvalidInput). */
  const ToolSettings& Settings();

  /** Opens the store that the settings name. */
  std::shared_ptr<PlatformStore> OpenStore();

  /** Prints the JSON or the text form, as the output flag selects. */
  void Print(const nlohmann::json& aJson, const std::string& aText);

  /**
   * Prints warnings to the error stream if the output is text. JSON output
   * contains the warnings in its object.
   */
  void PrintWarnings(const std::vector<std::string>& aWarnings);

private:
  const ToolInvocation& m_invocation;
  ToolEnvironment& m_environment;
  std::vector<std::string> m_arguments;
  std::optional<ToolSettings> m_settings;
};

}
