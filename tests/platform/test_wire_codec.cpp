#include "core/error.h"
#include "platform/wire_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bramleystall;

namespace {

const std::string kWorkerEntry =
  R"({"service":"s1","addr":"10.0.0.9:80","zone":"z1","version":"v1",
  "slots":8,"state":"draining","cold_left_ms":0,"remaining_ms":900,
  "machine":"m-1","capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},
  "labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":77})";

}

TEST_CASE("A worker's store entry is decoded", "[wire]")
{
  const WorkerReport report = wire::DecodeWorkerReport("i-1", kWorkerEntry);
  REQUIRE(report.m_id == "i-1");
  REQUIRE(report.m_pool == "s1");
  REQUIRE(report.m_isDraining);
  REQUIRE(report.m_remainingMs == 900);
  REQUIRE(report.m_capacity.m_accelerators == 1);
  REQUIRE(report.m_machine == "m-1");
  REQUIRE(report.m_startTimeMs == 77);
}

// Guards against malformed entries, or entries of another writer, that add
// workers to the pool.
TEST_CASE("Malformed entries are rejected", "[wire]")
{
  const std::vector<std::string> entries = {
    "",
    "\xff\xfe",
    "[]",
    "{}",
    R"({"service":1})",
    R"({"service":"s","addr":"a","zone":"z","state":"gone","capacity":{},
       "labels":[]})"
  };
  for (const std::string& entry : entries) {
    INFO(entry);
    REQUIRE_THROWS_AS(wire::DecodeWorkerReport("i-1", entry), Error);
  }
  REQUIRE_THROWS_AS(wire::DecodeConfiguration("{}"), Error);
  REQUIRE_THROWS_AS(wire::DecodeWave(R"({"wave":"x"})"), Error);
}

TEST_CASE("A configuration's queues and pools are decoded", "[wire]")
{
  const JobConfiguration configuration = wire::DecodeConfiguration(
    R"({"version":7,"routes":[
      {"name":"r1","host":"h","prefix":"/a/","service":"s1","priority":1,
       "max_attempts":3,"stretch":1.6,"target_runtime_ms":600},
      {"name":"r2","host":"h","prefix":"/a/b/","service":"s2",
       "advice":{"decide_ms":5,"each_ms":1,"valid_ms":3000}}],
      "services":[{"name":"s1","enforces_capacity":false},
                  {"name":"s3","standby":true}],
      "limits":{"max_body_bytes":1000}})");
  REQUIRE(configuration.m_version == 7);
  REQUIRE(configuration.Match("h", "/a/x")->m_name == "r1");
  REQUIRE(configuration.Match("h", "/a/b/x")->m_name == "r2");
  REQUIRE(configuration.Match("other", "/a/x") == nullptr);
  REQUIRE(configuration.Find("r2")->m_needsAdvice);
  REQUIRE(configuration.Find("r1")->m_objectiveSlackMs == 600);
  REQUIRE_FALSE(configuration.m_pools.at("s1").m_enforcesCapacity);
  REQUIRE(configuration.m_pools.at("s3").m_isStandby);
  REQUIRE(configuration.m_maxBodyBytes == 1000);
}

TEST_CASE("A submission is decoded and validated", "[wire]")
{
  const JobRecord record = wire::DecodeSubmission("5c0e7a21d94b36f8",
                                                  R"({"spec":"text","phases":[
      {"count":4,"cpu":500,"mem_mb":256,"affinity":"r1-3","may_miss":1,
       "long_running":true,"anti_affinity":2},
      {"count":2,"after":[0],"gang":true,"same_rack":true,
       "checkpoints":true}],"repeats":3,"interval_ms":50})");
  REQUIRE(record.m_payload == "text");
  REQUIRE(record.m_steps[0].m_dataRack == "r1-3");
  REQUIRE(record.m_steps[0].m_maxDisrupted == 1);
  REQUIRE(record.m_steps[0].m_maxPerWorker == 2);
  REQUIRE(record.m_steps[1].m_isGang);
  REQUIRE(record.m_repeats == 3);
  const std::vector<std::string> bad = {
    "",
    "{}",
    R"({"spec":"x","phases":[]})",
    R"({"spec":"x","phases":[{"count":0}]})",
    R"({"spec":"x","phases":[{"count":1,"after":[0]}]})",
    R"({"spec":"x","phases":[{"count":"four"}]})",
    R"({"spec":"x","phases":[{"count":1,"cpu":-1}]})",
    R"({"spec":"x","phases":[{"count":1,"estimate_ms":-5}]})",
    R"({"spec":"x","phases":[{"count":1,"anti_affinity":-2}]})",
    R"({"spec":"x","phases":[{"count":1}],"repeats":-1})",
    R"({"spec":"x","phases":[{"count":900}],"repeats":2000000000})",
  };
  for (const std::string& body : bad) {
    INFO(body);
    REQUIRE_THROWS_AS(wire::DecodeSubmission("id", body), Error);
  }
}

// Guards against a job whose list of steps takes far more memory than its
// steps.
TEST_CASE("A step's dependencies are kept once each", "[wire]")
{
  const JobRecord record = wire::DecodeSubmission(
    "5c0e7a21d94b36f8",
    R"({"phases":[{"count":1},{"count":1},{"count":1,"after":[1,0,1,0,0]}]})");
  CHECK(record.m_steps.at(2).m_after == std::vector<int>{ 0, 1 });
}

TEST_CASE("A worker's response to a lease renewal is decoded", "[wire]")
{
  const LeaseOrderResult result = wire::DecodeLeaseResponse(
    R"({"clock_ms":5,"born":9,
      "running":[["a.0.1.2",2,"save",41,0.5],["a.0.1.3",2,"",40]],
      "finished":[[58,"a.0.1.9",1,"lapsed",""]]})");
  REQUIRE(result.m_startTimeMs == 9);
  REQUIRE(result.m_running.size() == 2);
  REQUIRE(result.m_running[0].m_percent == 41);
  REQUIRE(result.m_ends[0].m_kind == TaskEndKind::LeaseExpired);
  REQUIRE_THROWS_AS(
    wire::DecodeLeaseResponse(
      R"({"clock_ms":5,"running":[],"finished":[[1,"a",1,"odd",""]]})"),
    Error);
}

// Guards against a list that counts as complete although the worker holds more
// ends than it lists in one response (rule TWICE, review/1).
TEST_CASE("A worker's list of 500 ends may lack later ones", "[wire]")
{
  const auto decode = [](int aCount) {
    nlohmann::json body = { { "clock_ms", 5 },
                            { "running", nlohmann::json::array() },
                            { "finished", nlohmann::json::array() } };
    for (int number = 1; number <= aCount; ++number) {
      body["finished"].push_back({ number, "a.0.0.0", number, "done", "" });
    }
    return wire::DecodeLeaseResponse(body.dump());
  };
  REQUIRE(decode(499).m_hasAllEnds);
  REQUIRE_FALSE(decode(500).m_hasAllEnds);
}
