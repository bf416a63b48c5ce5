#include "core/error.h"
#include "core/job_settings.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bramleystall;

namespace {

nlohmann::json
MakeValidSettings()
{
  return { { "daemon", "front-1" },
           { "data_centre", "gt-a" },
           { "listen",
             { { "callers", "10.0.0.1:80" }, { "ready", "10.0.0.1:81" } } },
           { "store", "10.0.0.2:80" },
           { "machines", "10.0.0.3:80" },
           { "advice", "" },
           { "grace_ms", 6000 },
           { "max_worker_lease_ms", 10000 },
           { "stop_ms", 200 },
           { "job_retention_s", 120 },
           { "notice_ms", 4500 },
           { "move_s", 1.5 },
           { "upkeep_s", 2 },
           { "machine_turn_ms", 3000 },
           { "machine_orders_per_s", 64.0 },
           { "machine_reads_per_s", 64.0 },
           { "cores", 0.25 },
           { "link_mbps", 1000.0 } };
}

}

// Guards against a setting that is read into the wrong member or unit.
TEST_CASE("Settings of the job daemon are parsed", "[job_settings]")
{
  const JobSettings settings = ParseJobSettings(MakeValidSettings().dump());
  REQUIRE(settings.m_daemon == "front-1");
  REQUIRE(settings.m_terminationGracePeriod == absl::Seconds(6));
  REQUIRE(settings.m_moveTime == absl::Milliseconds(1500));
  REQUIRE(settings.m_cores == 0.25);
}

// Guards against a daemon that starts without a required setting, and against
// an error that does not tell the operator which setting is missing or of the
// wrong type.
TEST_CASE("A missing or wrong setting is named", "[job_settings]")
{
  const nlohmann::json valid = MakeValidSettings();
  for (const auto& [name, value] : valid.items()) {
    if (name == "advice") {
      continue;
    }
    nlohmann::json missing = valid;
    missing.erase(name);
    nlohmann::json wrong = valid;
    wrong[name] = nlohmann::json::array();
    for (const nlohmann::json& settings : { missing, wrong }) {
      INFO(settings.dump());
      REQUIRE_THROWS_WITH(ParseJobSettings(settings.dump()),
                          Catch::Contains("'" + name + "'"));
    }
  }
  REQUIRE_THROWS_AS(ParseJobSettings("{"), Error);
}

// Guards against a deployment without the limits that does not start, and
// against limits under which a daemon cannot serve any request.
TEST_CASE("The limits of the process are optional and checked",
          "[job_settings]")
{
  nlohmann::json settings = MakeValidSettings();
  const ProcessLimits defaults = ParseJobSettings(settings.dump()).m_limits;
  CHECK(defaults.m_memoryMb == 160);
  CHECK(defaults.m_maxDescriptors == 4100);
  CHECK(defaults.m_requestReadTimeout == absl::Seconds(30));
  settings["memory_mb"] = 512.0;
  settings["max_fds"] = 8192;
  settings["request_read_timeout_ms"] = 10'000;
  const ProcessLimits limits = ParseJobSettings(settings.dump()).m_limits;
  CHECK(limits.m_memoryMb == 512);
  CHECK(limits.m_maxDescriptors == 8192);
  CHECK(limits.m_requestReadTimeout == absl::Seconds(10));
  for (const char* name :
       { "memory_mb", "max_fds", "request_read_timeout_ms" }) {
    for (const nlohmann::json& value :
         { nlohmann::json(0), nlohmann::json(-1), nlohmann::json("160") }) {
      nlohmann::json wrong = settings;
      wrong[name] = value;
      REQUIRE_THROWS_WITH(ParseJobSettings(wrong.dump()),
                          Catch::Contains(absl::StrCat("'", name, "'")));
    }
  }
}
