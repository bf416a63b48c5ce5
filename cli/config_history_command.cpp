#include "cli/command_context.h"
#include "cli/commands.h"
#include "cli/text_table.h"
#include "consul/configuration_publisher.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

ExitCode
RunConfigHistory(CommandContext& aContext)
{
  const auto store = aContext.OpenStore();
  ConfigurationPublisher publisher(*store, aContext.Environment().m_hooks);
  const auto history =
    nlohmann::json::parse(SerializeHistory(publisher.ReadHistory()));
  std::vector<std::vector<std::string>> rows = {
    { "VERSION", "TIME", "OPERATOR", "DIGEST", "CHANGE" }
  };
  for (const auto& entry : history.at("versions")) {
    rows.push_back({ TextOf(entry, "version"),
                     TimeOf(entry, "accepted_ms"),
                     TextOf(entry, "operator"),
                     TextOf(entry, "digest"),
                     TextOf(entry, "change") });
  }
  aContext.Print(history,
                 rows.size() == 1 ? "no configuration was published yet\n"
                                  : FormatTable(rows));
  return ExitCode::Success;
}

}
