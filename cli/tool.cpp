#include "cli/tool.h"

#include "cli/command_context.h"
#include "cli/commands.h"
#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <ostream>

namespace bramleystall {

namespace {

/** One command: its name, the usage of its arguments and its function. */
struct Command
{
  const char* m_words;
  const char* m_arguments;
  std::size_t m_minArguments;
  std::size_t m_maxArguments;
  const char* m_help;
  ExitCode (*m_run)(CommandContext&);
};

/**
 * The first match is used, so a command precedes those whose name is a prefix
 * of its own: `wave cancel ID` would also match `wave POOL`.
 */
constexpr std::array kCommands = {
  Command{ "validate",
           "DIR",
           1,
           1,
           "check the service files and fleet.json of a folder",
           RunValidate },
  Command{ "publish",
           "DIR [--wait SECONDS] [--expect_version N]",
           1,
           1,
           "make the folder the accepted configuration",
           RunPublish },
  Command{ "status", "", 0, 0, "show daemons, pools and orders", RunStatus },
  Command{ "explain",
           "vm|pool|wave|service NAME",
           2,
           2,
           "show why something is in its state",
           RunExplain },
  Command{ "drain",
           "VM",
           1,
           1,
           "take a VM out of service for maintenance",
           RunDrain },
  Command{ "move", "VM POOL", 2, 2, "move a VM to another pool", RunMove },
  Command{ "wave cancel", "ID", 1, 1, "stop a wave", RunWaveCancel },
  Command{ "wave",
           "[POOL]",
           0,
           1,
           "maintain every VM of a pool, or of all pools",
           RunWave },
  Command{ "restore",
           "VM",
           1,
           1,
           "return a VM that was set aside to service",
           RunRestore },
  Command{ "config history",
           "",
           0,
           0,
           "list the accepted configuration versions",
           RunConfigHistory },
};

/** Command that was found in a command line and its arguments. */
struct Match
{
  const Command* m_command = nullptr;
  std::vector<std::string> m_arguments;
};

Match
FindCommand(const std::vector<std::string>& aWords)
{
  for (const Command& command : kCommands) {
    const std::vector<std::string> words = absl::StrSplit(command.m_words, ' ');
    const bool matches = aWords.size() >= words.size() &&
                         std::equal(words.begin(), words.end(), aWords.begin());
    if (matches) {
      const auto rest =
        aWords.begin() + static_cast<std::ptrdiff_t>(words.size());
      return { &command, { rest, aWords.end() } };
    }
  }
  return {};
}

/** Prints an error: as text, one line per message; as JSON, one object. */
void
PrintError(const ToolInvocation& aInvocation,
           ToolEnvironment& aEnvironment,
           const std::string& aKind,
           const std::string& aMessage)
{
  const std::vector<std::string> lines = absl::StrSplit(aMessage, '\n');
  if (aInvocation.m_output == OutputFormat::Json) {
    const nlohmann::json object = { { "error", aKind }, { "messages", lines } };
    aEnvironment.m_out << object.dump(2,
                                      ' ',
                                      false,
                                      nlohmann::json::error_handler_t::replace)
                       << "\n";
    return;
  }
  for (const std::string& line : lines) {
    aEnvironment.m_error << "error: " << line << "\n";
  }
}

std::string
Usage(const Command& aCommand)
{
  return absl::StrCat("usage: bramleystall ",
                      aCommand.m_words,
                      *aCommand.m_arguments ? " " : "",
                      aCommand.m_arguments);
}

ExitCode
Reject(const ToolInvocation& aInvocation,
       ToolEnvironment& aEnvironment,
       const std::string& aMessage)
{
  PrintError(aInvocation, aEnvironment, "usage", aMessage);
  return ExitCode::Usage;
}

}

std::string
HelpText()
{
  std::string text = "bramleystall - operate a fleet of bramleystalld "
                     "daemons\n\nCommands:\n";
  for (const Command& command : kCommands) {
    absl::StrAppend(&text,
                    "  ",
                    command.m_words,
                    *command.m_arguments ? " " : "",
                    command.m_arguments,
                    "\n      ",
                    command.m_help,
                    "\n");
  }
  absl::StrAppend(
    &text,
    "\nFlags:\n"
    "  --settings FILE     settings file of the tool (default "
    "bramleystall.json)\n"
    "  --output text|json  output format (default text)\n"
    "  --wait SECONDS      publish: wait until the daemons have the version\n"
    "  --expect_version N  publish: fail unless N is the accepted version\n"
    "\nExit codes:\n");
  for (const auto& [code, meaning] : kExitCodeMeanings) {
    absl::StrAppend(
      &text, "  ", static_cast<int>(code), "  ", std::string(meaning), "\n");
  }
  return text;
}

ExitCode
RunTool(const ToolInvocation& aInvocation, ToolEnvironment& aEnvironment)
{
  if (aInvocation.m_words.empty()) {
    return Reject(
      aInvocation, aEnvironment, "a command is missing; see --help");
  }
  Match match = FindCommand(aInvocation.m_words);
  if (!match.m_command) {
    return Reject(aInvocation,
                  aEnvironment,
                  absl::StrCat("unknown command '",
                               absl::StrJoin(aInvocation.m_words, " "),
                               "'; see --help"));
  }
  const Command& command = *match.m_command;
  const std::size_t count = match.m_arguments.size();
  const bool hasEmpty =
    std::ranges::any_of(match.m_arguments, &std::string::empty);
  if (count < command.m_minArguments || count > command.m_maxArguments ||
      hasEmpty) {
    return Reject(aInvocation, aEnvironment, Usage(command));
  }
  CommandContext context(
    aInvocation, aEnvironment, std::move(match.m_arguments));
  try {
    return command.m_run(context);
  } catch (const Error& error) {
    PrintError(aInvocation,
               aEnvironment,
               std::string(NameOf(kErrorCodeNames, error.Code())),
               error.what());
    return ExitCodeOf(error.Code());
  } catch (const std::exception& error) {
    PrintError(aInvocation, aEnvironment, "internal", error.what());
    return ExitCodeOf(ErrorCode::Internal);
  }
}

}
