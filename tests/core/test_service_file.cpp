#include "core/configuration_codec.h"
#include "core/error.h"
#include "core/service_file.h"
#include "tests/support/temporary_folder.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace bramleystall;
using nlohmann::json;

namespace {

json
MakeFleet()
{
  return json::parse(R"({
    "spare_pool": "spare", "spare_workers": 8, "survive": "rack",
    "team_quotas": {"team-a": 0.5, "team-b": 0.5}})");
}

json
MakeService(const std::string& aName)
{
  return { { "name", aName },
           { "team", "team-a" },
           { "pool", aName },
           { "pool_workers", 10 },
           { "availability_budget", 0.8 },
           { "kind", "counter" },
           { "path_prefix", "/" + aName + "/" } };
}

/** Folder with the fleet and two services, "a" and "b". */
class ServiceFolder
{
public:
  json m_fleet = MakeFleet();
  json m_a = MakeService("a");
  json m_b = MakeService("b");

  ConfigurationFolder Load() const
  {
    m_folder.Write("fleet.json", m_fleet.dump());
    m_folder.Write("a.service.json", m_a.dump());
    m_folder.Write("b.service.json", m_b.dump());
    return LoadConfigurationFolder(m_folder.Path(""));
  }

  /** The error message without the folder's path, or "" when accepted. */
  std::string LoadError() const
  {
    try {
      Load();
    } catch (const Error& error) {
      CHECK(error.Code() == ErrorCode::InvalidInput);
      std::string message = error.what();
      const std::string prefix = m_folder.Path("") + "/";
      for (std::size_t at = 0;
           (at = message.find(prefix)) != std::string::npos;) {
        message.erase(at, prefix.size());
      }
      return message;
    }
    return "";
  }

  const TemporaryFolder& Folder() const { return m_folder; }

private:
  TemporaryFolder m_folder;
};

}

// Guards against a valid folder being rejected, and against warnings although
// the spares suffice.
TEST_CASE("A folder of service files becomes a configuration", "[core]")
{
  const ServiceFolder folder;
  const ConfigurationFolder loaded = folder.Load();
  CHECK(loaded.m_configuration.m_services.size() == 2);
  CHECK(loaded.m_configuration.m_fleet.m_spareWorkers == 8);
  CHECK(loaded.m_configuration.m_digest == DigestOf(loaded.m_configuration));
  CHECK(loaded.m_warnings ==
        std::vector<std::string>{ folder.Folder().Path("fleet.json") +
                                  ": /team_quotas/team-b: no service names "
                                  "this team" });
}

// Guards against an inconsistent configuration reaching the fleet; the schema
// alone cannot detect these inconsistencies.
TEST_CASE("Cross checks name the file and the value", "[core]")
{
  ServiceFolder folder;
  SECTION("duplicate service")
  {
    folder.m_b["name"] = "a";
    CHECK(folder.LoadError() ==
          "b.service.json: /name: value \"a\", expected a name that no other "
          "service has; also in a.service.json");
  }
  SECTION("two owners of one pool")
  {
    folder.m_b["pool"] = "a";
    CHECK(folder.LoadError().starts_with(
      "b.service.json: /pool: value \"a\", expected a pool that no other "
      "service owns"));
  }
  SECTION("unknown pool")
  {
    folder.m_b["pool"] = "c";
    folder.m_b.erase("pool_workers");
    CHECK(folder.LoadError() ==
          "b.service.json: /pool: value \"c\", expected a pool that some "
          "service owns by \"pool_workers\"");
  }
  SECTION("spare pool")
  {
    folder.m_b["pool"] = "spare";
    CHECK(folder.LoadError().find("a pool other than the spare pool") !=
          std::string::npos);
  }
  SECTION("budget over 1")
  {
    folder.m_a["availability_budget"] = 1.5;
    CHECK(folder.LoadError() ==
          "a.service.json: /availability_budget: value 1.5, expected a number "
          "over 0 and at most 1");
  }
  SECTION("budget of 0")
  {
    folder.m_a["availability_budget"] = 0;
    CHECK(folder.LoadError().find("value 0, expected a number over 0") !=
          std::string::npos);
  }
  SECTION("owner without a budget")
  {
    folder.m_a.erase("availability_budget");
    CHECK(folder.LoadError().starts_with(
      "a.service.json: /availability_budget: missing"));
  }
  SECTION("budget above that of the pool")
  {
    folder.m_b["pool"] = "a";
    folder.m_b.erase("pool_workers");
    folder.m_b["availability_budget"] = 0.9;
    CHECK(
      folder.LoadError().find("expected at most 0.8, the budget of the pool's "
                              "owner a") != std::string::npos);
  }
  SECTION("overlapping hosts")
  {
    folder.m_a["hosts"] = { "x.example", "y.example" };
    folder.m_b["hosts"] = { "y.example" };
    CHECK(folder.LoadError().starts_with(
      "b.service.json: /hosts/0: value \"y.example\""));
  }
  SECTION("equal path prefixes")
  {
    folder.m_b["path_prefix"] = "/a/";
    CHECK(folder.LoadError().starts_with(
      "b.service.json: /path_prefix: value \"/a/\""));
  }
  SECTION("service that no request reaches")
  {
    folder.m_b.erase("path_prefix");
    CHECK(folder.LoadError().find("no request reaches the service") !=
          std::string::npos);
  }
  SECTION("unknown team")
  {
    folder.m_b["team"] = "team-c";
    CHECK(folder.LoadError() ==
          "b.service.json: /team: value \"team-c\", expected a team of "
          "\"team_quotas\" in fleet.json");
  }
  SECTION("quotas over 1")
  {
    folder.m_fleet["team_quotas"]["team-b"] = 0.6;
    folder.m_b["team"] = "team-b";
    folder.m_b["pool"] = "a";
    folder.m_b.erase("pool_workers");
    CHECK(folder.LoadError().find("add up to 1.1, expected at most 1") !=
          std::string::npos);
  }
  SECTION("default deadline over the largest one")
  {
    folder.m_a["default_deadline_ms"] = 60000;
    CHECK(folder.LoadError().starts_with(
      "a.service.json: /default_deadline_ms: value 60000"));
  }
  SECTION("unknown key in a nested object")
  {
    folder.m_a["stop"] = { { "grace", 5 } };
    CHECK(folder.LoadError() == "a.service.json: /stop/grace: unknown key with "
                                "value 5, expected one of: grace_ms, measures");
  }
  SECTION("fleet file missing")
  {
    const TemporaryFolder empty;
    CHECK_THROWS_WITH(LoadConfigurationFolder(empty.Path("")),
                      Catch::Contains("fleet.json: the file does not exist") &&
                        Catch::Contains("no service file"));
  }
  SECTION("folder missing")
  {
    CHECK_THROWS_WITH(LoadConfigurationFolder(folder.Folder().Path("none")),
                      Catch::Contains("the folder cannot be read"));
  }
}

// Guards against accepting, without a warning, a budget that cannot be kept
// when a rack is lost.
TEST_CASE("A budget that the spares cannot protect gives a warning", "[core]")
{
  ServiceFolder folder;
  folder.m_b["team"] = "team-b";
  CHECK(folder.Load().m_warnings.empty());
  folder.m_fleet["spare_workers"] = 1;
  folder.m_a["availability_budget"] = 1;
  const auto warnings = folder.Load().m_warnings;
  REQUIRE(warnings.size() == 3);
  CHECK(warnings[0].find("pool a cannot keep 1 when it loses one rack; it "
                         "needs 4 spare workers and there are 1") !=
        std::string::npos);
}

// Guards against a prefix that also matches the requests of a longer name,
// which for an idempotent path could run a request twice that must run only
// once.
TEST_CASE("A prefix without a final slash gives a warning", "[core]")
{
  ServiceFolder folder;
  folder.m_b["team"] = "team-b";
  folder.m_a["path_prefix"] = "/a";
  folder.m_a["idempotent"] = { { "paths", { "/a/check", "/c/" } } };
  const auto warnings = folder.Load().m_warnings;
  REQUIRE(warnings.size() == 3);
  CHECK(warnings[0].find("/path_prefix: value \"/a\" also matches /a...") !=
        std::string::npos);
  CHECK(warnings[1].find("/idempotent/paths/0: value \"/a/check\"") !=
        std::string::npos);
  CHECK(warnings[2].find("/idempotent/paths/1: value \"/c/\" matches no "
                         "request of the service") != std::string::npos);
}

// Guards against a misspelt file name, which would silently omit a service.
TEST_CASE("A JSON file with another name gives a warning", "[core]")
{
  ServiceFolder folder;
  folder.m_b["team"] = "team-b";
  folder.Folder().Write("c.services.json", "{}");
  const auto warnings = folder.Load().m_warnings;
  REQUIRE(warnings.size() == 1);
  CHECK(warnings[0].find("c.services.json: ignored") != std::string::npos);
}
