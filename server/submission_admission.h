#pragma once

#include "admission/admission_control.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <string>

namespace bramleystall {

class EventLoop;
class Metrics;
class ShardStatusReader;
struct JobConfiguration;
struct JobRecord;
struct QueueSpec;

/**
 * Applies admission control to submitted jobs where the configuration has
 * tenants, and reports the refusals. Runs on the event loop.
 */
class SubmissionAdmission
{
public:
  /** The dependencies outlive this object. */
  SubmissionAdmission(EventLoop& aLoop,
                      Metrics& aMetrics,
                      ShardStatusReader& aStatus);

  /**
   * Returns a refusal, or nothing; then the job counts as accepted. Jobs with
   * long-running steps or with scheduled occurrences, and all jobs without a
   * recent view of their shard or of a queue whose run time its owner has not
   * learned, are admitted.
   */
  std::optional<AdmissionRefusal> Check(const JobRecord& aRecord,
                                        const QueueSpec& aQueue,
                                        int aShard,
                                        const JobConfiguration& aConfiguration);

  /** Counts a refusal that was not lifted and logs it, at most once a second
   * for each reason. */
  void Report(const AdmissionRefusal& aRefusal,
              const std::string& aTenant,
              int aShard,
              const JobConfiguration& aConfiguration);

private:
  struct Logged
  {
    absl::Time m_at = absl::InfinitePast();
    /** Refusals since then. */
    int m_count = 0;
  };

  EventLoop& m_loop;
  Metrics& m_metrics;
  ShardStatusReader& m_status;
  AdmissionControl m_control;
  std::map<AdmissionReason, Logged> m_logged;
};

}
