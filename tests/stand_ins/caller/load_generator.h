#pragma once

#include "tests/stand_ins/caller/plan.h"
#include "tests/stand_ins/caller/request_log.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

/** Settings with which a plan is sent. */
struct LoadSettings
{
  /** Time during which new requests are sent. */
  absl::Duration m_duration = absl::Seconds(10);
  std::uint64_t m_seed = 1;
  /** Fraction of the requests that are sent twice with the same id. */
  double m_resendFraction = 0;
  /** Addresses of daemons that are killed on purpose during the run. */
  std::set<std::string> m_killedDaemons;
  /** Limit of attempts of one request whose connections break. */
  int m_maxAttempts = 4;
};

/** Sends the requests of a plan over one libcurl multi handle. */
class LoadGenerator
{
public:
  LoadGenerator(const Plan& aPlan, const LoadSettings& aSettings);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /** Sends for the set duration, then waits for all outcomes. */
  void Run();

  const std::vector<RequestRecord>& Records() const { return m_records; }

private:
  struct Attempt;

  void SendDue(absl::Duration aElapsed);
  void SendNew(std::size_t aService);
  void StartAttempt(std::size_t aRecord, std::size_t aDaemon);
  void SendDueResends();
  void HandleFinished();
  void Finish(Attempt& aAttempt, int aCode);
  AttemptOutcome Classify(Attempt& aAttempt, int aCode);
  AttemptOutcome ClassifyResponse(Attempt& aAttempt, RequestRecord& aRecord);
  void ResendAfterBreak(const Attempt& aAttempt, AttemptOutcome aOutcome);
  std::string MakeId();

  const Plan& m_plan;
  LoadSettings m_settings;
  std::mt19937_64 m_random;
  void* m_multi;
  std::vector<RequestRecord> m_records;
  /** Time of the next request of each service, from the start. */
  std::vector<absl::Duration> m_nextSendTimes;
  /** Attempt to start at a later time. */
  struct Resend
  {
    absl::Time m_time;
    std::size_t m_record = 0;
    std::size_t m_daemon = 0;
  };
  std::vector<Resend> m_resends;
  int m_running = 0;
};

}
