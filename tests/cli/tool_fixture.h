#pragma once

#include "cli/tool.h"
#include "tests/fakes/fake_platform_store.h"
#include "tests/support/temporary_folder.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Runs the tool against a fake store and fake daemons at 127.0.0.1:24901 and
 * 127.0.0.1:24902.
 */
class ToolFixture
{
public:
  FakePlatformStore m_store;
  TemporaryFolder m_folder;
  std::ostringstream m_out;
  std::ostringstream m_error;
  ToolInvocation m_invocation;
  /** Responds to requests; aCall is "METHOD /path". */
  std::function<ClientResponse(const std::string& aAddress,
                               const std::string& aCall,
                               const std::string& aBody)>
    m_respond = [](const auto&, const auto&, const auto&) -> ClientResponse {
    throw HttpError("refused", false);
  };
  std::vector<std::string> m_calls;

  ToolFixture()
  {
    m_invocation.m_settingsPath = m_folder.Write(
      "tool.json",
      R"({"platform": {"url": "http://127.0.0.1:24900"}, "operator": "ana",
          "admin": ["127.0.0.1:24901", "127.0.0.1:24902"]})");
    WriteFile("fleet.json", MakeFleet());
    WriteFile("a.service.json", MakeService("a"));
  }

  static nlohmann::json MakeFleet()
  {
    return { { "spare_pool", "spare" },
             { "spare_workers", 8 },
             { "survive", "rack" },
             { "team_quotas", { { "team", 1 } } } };
  }

  static nlohmann::json MakeService(const std::string& aName)
  {
    return { { "name", aName },
             { "team", "team" },
             { "pool", aName },
             { "pool_workers", 10 },
             { "availability_budget", 0.8 },
             { "kind", "counter" },
             { "path_prefix", absl::StrCat("/", aName, "/") } };
  }

  /** Writes a JSON file of the configuration folder. */
  void WriteFile(const std::string& aName, const nlohmann::json& aContent)
  {
    WriteText(aName, aContent.dump());
  }

  void WriteText(const std::string& aName, const std::string& aText)
  {
    std::filesystem::create_directories(Services());
    m_folder.Write(absl::StrCat("services/", aName), aText);
  }

  std::string Services() const { return m_folder.Path("services"); }

  /** Runs a command line; clears the outputs of earlier runs first. */
  ExitCode Run(std::vector<std::string> aWords)
  {
    m_out.str("");
    m_error.str("");
    m_calls.clear();
    m_invocation.m_words = std::move(aWords);
    ToolEnvironment environment{
      m_out,
      m_error,
      [this](const PlatformSettings&) {
        return std::shared_ptr<PlatformStore>(&m_store, [](auto*) {});
      },
      [this](const ClientRequest& aRequest) { return Send(aRequest); },
      { [] { return absl::FromUnixSeconds(1'700'000'000); },
        [](absl::Duration) {},
        [this] { return absl::StrCat("w", ++m_tokens); } }
    };
    return RunTool(m_invocation, environment);
  }

  nlohmann::json Output() const { return nlohmann::json::parse(m_out.str()); }

  static ClientResponse MakeResponse(int aStatus, const nlohmann::json& aBody)
  {
    return { aStatus, aBody.dump(), {} };
  }

private:
  ClientResponse Send(const ClientRequest& aRequest)
  {
    const std::string rest = aRequest.m_url.substr(sizeof("http://") - 1);
    const std::size_t slash = rest.find('/');
    const std::string address = rest.substr(0, slash);
    const std::string call =
      absl::StrCat(aRequest.m_method, " ", rest.substr(slash));
    {
      const std::lock_guard lock(m_mutex);
      m_calls.push_back(absl::StrCat(address, " ", call));
    }
    return m_respond(address, call, aRequest.m_body);
  }

  std::mutex m_mutex;
  int m_tokens = 0;
};

}
