#pragma once

#include "jobs/job_configuration.h"
#include "jobs/job_record.h"
#include "net/http_listener.h"
#include "scheduler/job_keys.h"
#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;
class Metrics;
class ShardLayout;

/** How callers' bodies are read and written. */
struct CallerCodec
{
  /** Throws Error (InvalidInput). */
  std::function<JobRecord(const std::string& aId, const std::string& aBody)>
    m_decodeJob;
  std::function<std::string(const std::string& aState)> m_encodeState;
  std::function<std::string(std::int64_t aCount)> m_encodePending;
};

/**
 * Callers' interface for jobs. It keeps no state of its own: a job is accepted
 * once its record is stored, and each answer about one comes from the store.
 */
class JobRequestHandler
{
public:
  /** The configuration in force, or null before the first one. */
  using ConfigurationSource = std::function<const JobConfiguration*()>;
  /** The division of the fleet, or null while it is unknown. */
  using LayoutSource = std::function<const ShardLayout*()>;

  JobRequestHandler(EventLoop& aLoop,
                    KeyValueStore& aStore,
                    Metrics& aMetrics,
                    CallerCodec aCodec,
                    ConfigurationSource aConfiguration,
                    LayoutSource aLayout);
  ~JobRequestHandler();
  JobRequestHandler(const JobRequestHandler&) = delete;
  JobRequestHandler& operator=(const JobRequestHandler&) = delete;

  void Handle(const ListenerRequest& aRequest,
              const HttpListener::Responder& aRespond);

private:
  struct Submission
  {
    std::string m_id;
    std::string m_record;
    /** Shard of the job, and the one in which it is looked for first. */
    int m_shard = 0;
    int m_lookupShard = 0;
    HttpListener::Responder m_respond;
  };

  void Submit(const QueueSpec& aQueue,
              const std::string& aId,
              const std::string& aBody,
              const HttpListener::Responder& aRespond);
  void FlushSubmissions();
  void OnCommitted(std::vector<Submission> aBatch, const CommitResult& aResult);
  void ReadBack(const Submission& aSubmission);
  void Accept(const Submission& aSubmission, const char* aHow);
  void RespondWithState(const std::string& aId,
                        const HttpListener::Responder& aRespond);
  /** Answers with the state in a shard; the hook runs when none is stored. */
  void RespondWithProgress(const std::string& aId,
                           int aShard,
                           const HttpListener::Responder& aRespond,
                           std::function<void()> aOnNone);
  /**
   * Finds the shard of a job and the revision of its record or reference;
   * answers the caller itself when there is none.
   */
  void FindJob(
    const std::string& aId,
    const HttpListener::Responder& aRespond,
    std::function<void(int aShard, std::int64_t aRevision)> aOnFound);
  void Cancel(const std::string& aId, const HttpListener::Responder& aRespond);
  void WriteCancel(const std::string& aId,
                   int aShard,
                   std::int64_t aRevision,
                   const HttpListener::Responder& aRespond);
  void RespondWithPendingCount(const std::string& aQueue,
                               const HttpListener::Responder& aRespond);
  /** Keys of the shard in which a job is looked for first. */
  keys::ShardKeys LookupKeys(const std::string& aId) const;
  void Refuse(const std::string& aId,
              const char* aReason,
              int aStatus,
              const HttpListener::Responder& aRespond);

  EventLoop& m_loop;
  KeyValueStore& m_store;
  Metrics& m_metrics;
  CallerCodec m_codec;
  ConfigurationSource m_configuration;
  LayoutSource m_layout;
  std::deque<Submission> m_submissions;
  int m_openCommits = 0;
  std::map<std::string, std::int64_t> m_pending;
  absl::Time m_pendingReadAt = absl::InfinitePast();
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
