// The part of the request handler that stores admitted jobs and refuses others.
// See job_request_handler.h.

#include "server/job_request_handler.h"

#include <string>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kUnavailable = 503;

}

void
JobRequestHandler::StoreSubmission(Submission aSubmission)
{
  if (!HasMemoryFor(aSubmission)) {
    RefuseUnlessStored(aSubmission);
    return;
  }
  m_submissions.push_back(std::move(aSubmission));
  FlushSubmissions();
}

void
JobRequestHandler::RefuseUnlessStored(const Submission& aSubmission,
                                      const std::string& aTenant,
                                      const AdmissionRefusal& aRefusal)
{
  // An earlier attempt may have stored the job.
  m_store.Get(
    aSubmission.m_entryKey,
    [this, aSubmission, aTenant, aRefusal, alive = m_alive](
      const ReadResult& aResult) {
      if (!*alive) {
        return;
      }
      const JobConfiguration* configuration = m_configuration();
      if (aResult.m_status != ReadStatus::Ok || configuration == nullptr) {
        StoreSubmission(aSubmission);
        return;
      }
      if (!aResult.m_items.empty()) {
        Accept(aSubmission, "known");
        return;
      }
      m_admission.Report(
        aRefusal, aTenant, aSubmission.m_shard, *configuration);
      Refuse(
        aSubmission.m_id,
        std::string(NameOf(kAdmissionReasonNames, aRefusal.m_reason)).c_str(),
        kUnavailable,
        aSubmission.m_respond,
        aRefusal.m_retryAfterS);
    });
}

}
