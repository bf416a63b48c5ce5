#include "tests/stand_ins/caller/load_generator.h"
#include "tests/stand_ins/caller/plan.h"
#include "tests/stand_ins/caller/request_log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <optional>
#include <stdexcept>

DEFINE_string(plan, "", "JSON file with the services and the addresses");
DEFINE_string(daemons,
              "",
              "addresses of the daemons; replaces those of the plan");
DEFINE_string(targets,
              "",
              "addresses of the targets; replaces those of the plan");
DEFINE_string(killed_daemons,
              "",
              "addresses of daemons that are killed on purpose during the run");
DEFINE_double(seconds, 10, "duration of sending new requests, in seconds");
DEFINE_uint64(seed, 1, "seed of the random arrival times and choices");
DEFINE_double(resend_fraction,
              0,
              "fraction of the requests sent a second time with the same id "
              "through another daemon");
DEFINE_int32(
  max_attempts,
  4,
  "limit of attempts, with the same id, of a request whose connection "
  "breaks");

namespace {

using namespace bramleystall;

std::vector<std::string>
SplitList(const std::string& aList)
{
  return absl::StrSplit(aList, ',', absl::SkipEmpty());
}

/** Record of a target, or nothing if the target does not respond. */
std::optional<nlohmann::json>
FetchRecord(const std::string& aTarget)
{
  CURL* handle = curl_easy_init();
  const std::string url = absl::StrCat("http://", aTarget, "/stand_in/record");
  std::string body;
  constexpr long kTimeoutMs = 10000;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &body);
  curl_easy_setopt(
    handle,
    CURLOPT_WRITEFUNCTION,
    +[](char* aData, std::size_t aSize, std::size_t aCount, void* aBody) {
      static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
      return aSize * aCount;
    });
  const CURLcode code = curl_easy_perform(handle);
  curl_easy_cleanup(handle);
  auto record = nlohmann::json::parse(body, nullptr, false);
  if (code != CURLE_OK || !record.is_object()) {
    return std::nullopt;
  }
  return record;
}

/**
 * Adds the runs of each request id at all targets to `aRuns`. Returns the
 * number of targets without a record.
 */
int
CollectRuns(const Plan& aPlan, std::map<std::string, int>& aRuns)
{
  int missing = 0;
  for (const auto& target : aPlan.m_targets) {
    auto record = FetchRecord(target);
    // Retries because a target may be rebooting.
    constexpr int kRetries = 20;
    for (int i = 0; i < kRetries && !record; ++i) {
      absl::SleepFor(absl::Milliseconds(500));
      record = FetchRecord(target);
    }
    if (!record) {
      std::cout << "cannot read the record of target " << target << "\n";
      ++missing;
      continue;
    }
    for (const auto& [id, count] : record->at("runs").items()) {
      aRuns[id] += count.get<int>();
    }
    std::cout << "target=" << target << " requests=" << record->at("requests")
              << " max_concurrency=" << record->at("max_concurrency")
              << " max_connections=" << record->at("max_connections")
              << " slot_violations=" << record->at("slot_violations")
              << " connection_violations="
              << record->at("connection_violations")
              << " interrupted=" << record->at("interrupted").size() << "\n";
  }
  return missing;
}

int
RunCaller()
{
  Plan plan = LoadPlan(FLAGS_plan);
  if (!FLAGS_daemons.empty()) {
    plan.m_daemons = SplitList(FLAGS_daemons);
  }
  if (!FLAGS_targets.empty()) {
    plan.m_targets = SplitList(FLAGS_targets);
  }
  if (plan.m_daemons.empty()) {
    throw std::runtime_error("no daemon address in the plan or in --daemons");
  }
  LoadSettings settings;
  settings.m_duration = absl::Seconds(FLAGS_seconds);
  settings.m_seed = FLAGS_seed;
  settings.m_resendFraction = FLAGS_resend_fraction;
  settings.m_maxAttempts = FLAGS_max_attempts;
  const auto killed = SplitList(FLAGS_killed_daemons);
  settings.m_killedDaemons = { killed.begin(), killed.end() };
  LoadGenerator generator(plan, settings);
  generator.Run();
  std::map<std::string, int> runs;
  const int missing = CollectRuns(plan, runs);
  const Verdict verdict =
    EvaluateRecords(plan, generator.Records(), runs, std::cout);
  return verdict.IsClean() && missing == 0 ? 0 : 1;
}

}

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "sends requests to daemons and checks their outcomes");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  try {
    return RunCaller();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
