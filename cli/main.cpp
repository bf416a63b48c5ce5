#include "cli/tool.h"
#include "consul/consul_store.h"
#include "core/log.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "bramleystall.json", "settings file of the tool");
DEFINE_string(output, "text", "output format: text or json");
DEFINE_double(wait, 0, "publish: seconds to wait for the daemons");
DEFINE_int64(expect_version,
             -1,
             "publish: fail unless this version is accepted");

namespace {

using namespace bramleystall;

bool
CheckOutput(const char* aFlag, const std::string& aValue)
{
  if (ValueOf(kOutputFormatNames, aValue)) {
    return true;
  }
  std::cerr << "error: --" << aFlag << "=" << aValue
            << ", expected text or json\n";
  return false;
}

bool
CheckWait(const char* aFlag, double aSeconds)
{
  constexpr double kMaxWaitSeconds = 3600;
  if (aSeconds >= 0 && aSeconds <= kMaxWaitSeconds) {
    return true;
  }
  std::cerr << "error: --" << aFlag << "=" << aSeconds
            << ", expected 0 to 3600 seconds\n";
  return false;
}

std::shared_ptr<PlatformStore>
OpenConsulStore(const PlatformSettings& aSettings)
{
  ConsulSettings settings;
  settings.m_baseUrl = aSettings.m_url;
  settings.m_timeout = aSettings.m_timeout;
  return std::make_shared<ConsulStore>(settings);
}

ToolInvocation
ReadFlags(int aCount, char** aWords)
{
  ToolInvocation invocation;
  invocation.m_words.assign(aWords + 1, aWords + aCount);
  invocation.m_settingsPath = FLAGS_settings;
  invocation.m_output = ValueOf(kOutputFormatNames, FLAGS_output).value();
  invocation.m_wait = absl::Seconds(FLAGS_wait);
  if (FLAGS_expect_version >= 0) {
    invocation.m_expectedVersion =
      static_cast<std::uint64_t>(FLAGS_expect_version);
  }
  return invocation;
}

/**
 * Whether `--help` was given. The tool prints its own help, since that of
 * gflags lists the flags of every linked library.
 */
bool
WantsHelp()
{
  gflags::CommandLineFlagInfo help;
  return gflags::GetCommandLineFlagInfo("help", &help) &&
         help.current_value == "true";
}

}

DEFINE_validator(output, &CheckOutput);
DEFINE_validator(wait, &CheckWait);

int
main(int aCount, char** aWords)
{
  gflags::ParseCommandLineNonHelpFlags(&aCount, &aWords, true);
  if (WantsHelp()) {
    std::cout << HelpText();
    return 0;
  }
  InitLog(LogLevel::Warning, LogFormat::Text, "bramleystall");
  HttpClient client;
  ToolEnvironment environment{ std::cout,
                               std::cerr,
                               OpenConsulStore,
                               [&client](const ClientRequest& aRequest) {
                                 return client.Send(aRequest);
                               },
                               SystemWriterHooks() };
  return static_cast<int>(RunTool(ReadFlags(aCount, aWords), environment));
}
