#pragma once

#include "jobs/job_configuration.h"
#include "jobs/job_entry.h"
#include "jobs/job_record.h"
#include "net/http_listener.h"
#include "scheduler/job_keys.h"
#include "scheduler/shard_memory.h"
#include "scheduler/shard_status_reader.h"
#include "server/submission_admission.h"
#include "store/key_value_store.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

class EventLoop;
class Metrics;
class ShardLayout;

/** Decodes request bodies of callers and encodes response bodies. */
struct CallerCodec
{
  /** Throws Error (InvalidInput) when the body is not a valid job. */
  std::function<JobRecord(const std::string& aId, const std::string& aBody)>
    m_decodeJob;
  std::function<std::string(const std::string& aState)> m_encodeState;
  std::function<std::string(std::int64_t aCount)> m_encodePending;
};

/**
 * Handles the HTTP requests of callers that submit, query and cancel jobs. It
 * keeps no job state in memory: a job is accepted once its record is stored,
 * and each response about a job is read from the store. Runs on the event loop.
 */
class JobRequestHandler
{
public:
  /** The configuration in effect, or null before the first one. */
  using ConfigurationSource = std::function<const JobConfiguration*()>;
  /** The layout that assigns the fleet to shards, or null while it is
   * unknown. */
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
    /** Shard that stores the job's record and schedules the job. */
    int m_shard = 0;
    /** Key of the job's entry in the directory. */
    std::string m_entryKey;
    HttpListener::Responder m_respond;
    /** See LargestMemory. */
    std::int64_t m_memory = 0;
  };

  void Submit(const QueueSpec& aQueue,
              const std::string& aId,
              const std::string& aBody,
              const HttpListener::Responder& aRespond);
  /** Chooses the shard of a job whose tasks end. */
  int ChooseShardOf(const std::string& aId, int aFallback);
  /** Whether the shard has memory for the job, which then counts as taken. */
  bool HasMemoryFor(const Submission& aSubmission);
  /** Refuses a job for which its shard has no memory, unless it is stored. */
  void RefuseUnlessStored(const Submission& aSubmission);
  /** Refuses a job that is not admitted, unless it is stored. It is stored
   * after all if the store cannot be read. */
  void RefuseUnlessStored(const Submission& aSubmission,
                          const std::string& aTenant,
                          const AdmissionRefusal& aRefusal);
  /** Stores the job if its shard has memory for it. */
  void StoreSubmission(Submission aSubmission);
  void FlushSubmissions();
  void OnCommitted(std::vector<Submission> aBatch, const CommitResult& aResult);
  /**
   * Resolves a write without a response: calls back when the key that it sets
   * is there. Otherwise refuses the request itself, with an unknown outcome.
   */
  void ReadBack(const std::string& aKey,
                const std::string& aId,
                const HttpListener::Responder& aRespond,
                std::function<void()> aOnStored);
  void Accept(const Submission& aSubmission, const char* aHow);
  /** Reads a key of a job; calls back with null when there is none. Refuses the
   * request itself when the store is unavailable. */
  void ReadKey(const std::string& aKey,
               const std::string& aId,
               const HttpListener::Responder& aRespond,
               std::function<void(const StoreItem* aItem)> aOnRead);
  void RespondWithState(const std::string& aId,
                        const HttpListener::Responder& aRespond);
  /** Responds with the stored progress of a job that has a record; calls
   * aOnNone instead when there is no progress. */
  void RespondWithProgress(const std::string& aId,
                           int aShard,
                           const HttpListener::Responder& aRespond,
                           std::function<void()> aOnNone);
  /**
   * Reads the entry of a job. Refuses the request itself when there is none or
   * the store is unavailable.
   */
  void FindEntry(const std::string& aId,
                 const HttpListener::Responder& aRespond,
                 std::function<void(const JobEntry& aEntry,
                                    std::int64_t aRevision)> aOnFound);
  void Cancel(const std::string& aId, const HttpListener::Responder& aRespond);
  void WriteCancel(const std::string& aId,
                   int aShard,
                   std::int64_t aEntryRevision,
                   const HttpListener::Responder& aRespond);
  void ConfirmCancel(const std::string& aId,
                     const HttpListener::Responder& aRespond);
  void RespondWithPendingCount(const std::string& aQueue,
                               const HttpListener::Responder& aRespond);
  std::string EntryKey(const std::string& aId) const;
  void Refuse(const std::string& aId,
              const char* aReason,
              int aStatus,
              const HttpListener::Responder& aRespond,
              int aRetryAfterS = kRetryAfterS);

  /** Retry-After, in seconds, of a response with status 503 that has no other
   * one. */
  static constexpr int kRetryAfterS = 1;

  EventLoop& m_loop;
  KeyValueStore& m_store;
  Metrics& m_metrics;
  CallerCodec m_codec;
  ConfigurationSource m_configuration;
  LayoutSource m_layout;
  std::deque<Submission> m_submissions;
  int m_openCommits = 0;
  ShardStatusReader m_shardStatus;
  ShardMemory m_shardMemory;
  SubmissionAdmission m_admission;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
