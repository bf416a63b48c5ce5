#include "core/configuration.h"
#include "core/error.h"
#include "core/fleet_document.h"
#include "core/metrics.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against a request reaching the service of a shorter prefix.
TEST_CASE("Routing prefers the host, then the longest prefix", "[core]")
{
  Configuration configuration;
  ServiceSpec wide;
  wide.m_name = "wide";
  wide.m_pathPrefix = "/";
  ServiceSpec narrow;
  narrow.m_name = "narrow";
  narrow.m_pathPrefix = "/a/";
  ServiceSpec hosted;
  hosted.m_name = "hosted";
  hosted.m_hosts = { "h.example" };
  configuration.m_services = { wide, narrow, hosted };
  CHECK(configuration.Route("x", "/a/b")->m_name == "narrow");
  CHECK(configuration.Route("x", "/b")->m_name == "wide");
  CHECK(configuration.Route("h.example", "/a/b")->m_name == "hosted");
}

// Guards against a field of a VM record being lost when it is stored.
TEST_CASE("Fleet document survives a round trip", "[core]")
{
  FleetDocument document;
  document.m_dataCentre = "dc1";
  document.m_revision = 7;
  document.m_term = 3;
  document.m_writerToken = "t";
  document.m_vms["vm1"] = { "vm1", "127.0.0.1:1", "r1", "a", VmState::Draining,
                            "b",   "w1",          "k",  5,   6,
                            4,     "maintenance" };
  const auto parsed = FleetDocument::Parse(document.Serialize());
  CHECK(parsed.Serialize() == document.Serialize());
  CHECK(parsed.m_vms.at("vm1").m_targetPool == "b");
  CHECK(parsed.m_vms.at("vm1").m_drainRevision == 4);
  CHECK_THROWS_AS(FleetDocument::Parse("{}"), Error);
}

// Guards against metrics that a Prometheus server cannot parse.
TEST_CASE("Metrics render in the Prometheus text format", "[core]")
{
  Metrics metrics;
  metrics.Count("refusals_total", { { "reason", "queue \"full\"" } }, 2);
  metrics.Observe("wait_seconds", {}, absl::Milliseconds(10));
  const std::string text = metrics.Render();
  CHECK(text.find("# TYPE refusals_total counter\n"
                  "refusals_total{reason=\"queue \\\"full\\\"\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("wait_seconds_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
  CHECK(metrics.CounterValue("refusals_total",
                             { { "reason", "queue \"full\"" } }) == 2);
}
