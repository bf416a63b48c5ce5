#include "core/configuration_codec.h"
#include "core/error.h"
#include "core/json_schema.h"
#include "core/service_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace bramleystall;

namespace {

/** Every field differs from its default, so that a lost field is detected. */
Configuration
MakeFullConfiguration()
{
  Configuration configuration;
  configuration.m_version = 7;
  configuration.m_writerToken = "token";
  configuration.m_operator = "ana";
  configuration.m_acceptedMillis = 1'700'000'000'000;
  FleetSpec& fleet = configuration.m_fleet;
  fleet.m_sparePool = "reserve";
  fleet.m_spareWorkers = 3;
  fleet.m_survive = FailureDomain::DataCentre;
  fleet.m_maxEvictionFraction = 0.3;
  fleet.m_rebootTimeout = absl::Seconds(61);
  fleet.m_vmGoneAfter = absl::Seconds(62);
  fleet.m_surplusHold = absl::Seconds(63);
  fleet.m_waveFailureLimit = 0.4;
  fleet.m_slotsPerWorker = 5;
  fleet.m_connectionsPerWorker = 50;
  fleet.m_teamQuotas = { { "t1", 0.1 }, { "t2", 0.25 } };
  fleet.m_weights = { 2, 3, 4, 5 };
  ServiceSpec service;
  service.m_name = "alarms";
  service.m_team = "t1";
  service.m_pool = "alarms-pool";
  service.m_poolWorkers = 9;
  service.m_availabilityBudget = 0.7;
  service.m_kind = "alarm";
  service.m_urgency = Urgency::Urgent;
  service.m_weight = 2.5;
  service.m_hosts = { "a.example", "b.example" };
  service.m_pathPrefix = "/alarms/";
  service.m_idempotentMethods = { "GET" };
  service.m_idempotentPaths = { "/alarms/check" };
  service.m_defaultDeadline = absl::Milliseconds(1500);
  service.m_maxDeadline = absl::Milliseconds(2500);
  service.m_queueLimit = 11;
  service.m_stopGrace = absl::Milliseconds(700);
  service.m_stopMeasures = { StopMeasure::Checkpoint, StopMeasure::Stop };
  service.m_declared = { 0.5, 64, 1, absl::Milliseconds(20) };
  ServiceSpec other;
  other.m_name = "doors";
  other.m_team = "t2";
  other.m_pool = "alarms-pool";
  other.m_kind = "door";
  other.m_hosts = { "d.example" };
  configuration.m_services = { service, other };
  configuration.m_digest = DigestOf(configuration);
  return configuration;
}

}

// Guards against a field that is lost between the publisher and the daemons.
TEST_CASE("A configuration survives a round trip", "[core]")
{
  const Configuration configuration = MakeFullConfiguration();
  const std::string text = SerializeConfiguration(configuration);
  const Configuration parsed = ParseConfiguration(text);
  CHECK(SerializeConfiguration(parsed) == text);
  CHECK(DigestOf(parsed) == configuration.m_digest);
  CHECK(parsed.m_version == 7);
  CHECK(parsed.m_writerToken == "token");
  CHECK(parsed.m_operator == "ana");
  CHECK(parsed.m_acceptedMillis == 1'700'000'000'000);
  CHECK(parsed.m_fleet.m_survive == FailureDomain::DataCentre);
  CHECK(parsed.m_fleet.m_vmGoneAfter == absl::Seconds(62));
  CHECK(parsed.m_fleet.m_weights.m_otherWork == 5);
  const ServiceSpec* const service = parsed.FindService("alarms");
  REQUIRE(service);
  CHECK(service->m_urgency == Urgency::Urgent);
  CHECK(service->m_stopMeasures.size() == 2);
  CHECK(service->m_idempotentPaths ==
        std::vector<std::string>{ "/alarms/check" });
  CHECK(service->m_declared.m_runTime == absl::Milliseconds(20));
  CHECK(service->m_stopGrace == absl::Milliseconds(700));
  CHECK_FALSE(parsed.FindService("doors")->OwnsPool());
}

// Guards against a serialised service that the schema of service files rejects,
// which happens when a key is added to only one of the two.
TEST_CASE("The JSON of a service and a fleet satisfies the schemas", "[core]")
{
  const Configuration configuration = MakeFullConfiguration();
  std::vector<std::string> errors;
  for (const ServiceSpec& service : configuration.m_services) {
    ParseChecked(
      SchemaName::Service, "f", ServiceToJson(service).dump(), errors);
  }
  ParseChecked(
    SchemaName::Fleet, "f", FleetToJson(configuration.m_fleet).dump(), errors);
  CHECK(errors.empty());
}

// Guards against different digests of equal content, which would turn an
// unchanged publish into a new version, and against changes that keep the
// digest.
TEST_CASE("The digest covers the content only", "[core]")
{
  const Configuration base = MakeFullConfiguration();
  Configuration same = base;
  same.m_version = 8;
  same.m_operator = "bo";
  same.m_writerToken = "other";
  same.m_acceptedMillis = 1;
  std::ranges::reverse(same.m_services);
  CHECK(DigestOf(same) == base.m_digest);
  CHECK(base.m_digest.size() == 16);
  Configuration changed = base;
  changed.m_services[1].m_queueLimit = 12;
  CHECK(DigestOf(changed) != base.m_digest);
  CHECK(DescribeChange(base, changed) == "services: ~doors");
  changed.m_fleet.m_spareWorkers = 4;
  changed.m_services.pop_back();
  CHECK(DescribeChange(base, changed) == "services: -doors; fleet changed");
}

// Guards against a malformed document that raises an exception of a type that
// the daemon does not handle, which would end the process.
TEST_CASE("Malformed configurations throw the project's Error", "[core]")
{
  CHECK_THROWS_AS(ParseConfiguration("{"), Error);
  CHECK_THROWS_AS(ParseConfiguration("{}"), Error);
  CHECK_THROWS_AS(ParseConfiguration("[]"), Error);
  auto document =
    nlohmann::json::parse(SerializeConfiguration(MakeFullConfiguration()));
  document["services"][0]["urgency"] = "never";
  CHECK_THROWS_AS(ParseConfiguration(document.dump()), Error);
}
