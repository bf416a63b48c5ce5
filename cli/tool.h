#pragma once

#include "cli/exit_code.h"
#include "cli/tool_environment.h"
#include "cli/tool_invocation.h"

#include <string>

namespace bramleystall {

/** Returns the help text with commands, flags and exit codes. */
std::string
HelpText();

/** Finds and runs the command; prints errors and returns the exit code. */
ExitCode
RunTool(const ToolInvocation& aInvocation, ToolEnvironment& aEnvironment);

}
