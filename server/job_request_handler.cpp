#include "server/job_request_handler.h"

#include "core/log.h"
#include "core/metrics.h"
#include "net/event_loop.h"
#include "scheduler/shard_layout.h"
#include "server/http_statuses.h"
#include "tenants/tenant_labels.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

constexpr std::size_t kIdLength = 16;
/** Retry-After, in seconds, of a response with status 503. */
constexpr int kRetryAfterS = 1;
/** Least time between two log lines about requests that were refused for one
 * reason before their key was checked, or that came from anonymous callers;
 * untrusted callers may send many. */
constexpr absl::Duration kRefusalLogInterval = absl::Seconds(1);

bool
IsJobId(const std::string& aText)
{
  return aText.size() == kIdLength &&
         std::ranges::all_of(aText, [](unsigned char aChar) {
           return std::isxdigit(aChar) != 0;
         });
}

}

JobRequestHandler::JobRequestHandler(EventLoop& aLoop,
                                     KeyValueStore& aStore,
                                     Metrics& aMetrics,
                                     CallerCodec aCodec,
                                     ConfigurationSource aConfiguration,
                                     LayoutSource aLayout)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_metrics(aMetrics)
  , m_codec(std::move(aCodec))
  , m_configuration(std::move(aConfiguration))
  , m_layout(std::move(aLayout))
  , m_tombstones(aLoop, aStore, aMetrics)
  , m_shardStatus(aLoop, aStore)
{
}

JobRequestHandler::~JobRequestHandler()
{
  *m_alive = false;
}

void
JobRequestHandler::Handle(const ListenerRequest& aRequest,
                          const HttpListener::Responder& aRespond)
{
  const JobConfiguration* configuration = m_configuration();
  if (configuration == nullptr) {
    RefuseUnidentified("no_configuration", kUnavailable, aRespond);
    return;
  }
  if (m_layout() == nullptr) {
    RefuseUnidentified("no_layout", kUnavailable, aRespond);
    return;
  }
  const QueueSpec* queue =
    configuration->Match(aRequest.m_host, aRequest.m_path);
  if (queue == nullptr) {
    RefuseUnidentified("unknown_queue", kNotFound, aRespond);
    return;
  }
  const auto caller =
    CallerIdentity::Identify(*configuration, *queue, aRequest.m_apiKey);
  if (!caller) {
    RefuseUnidentified(aRequest.m_apiKey.empty() ? "missing_key"
                                                 : "unknown_key",
                       kUnauthorized,
                       aRespond);
    return;
  }
  const JobCall call{ aRequest.m_path.substr(queue->m_prefix.size()),
                      *caller,
                      aRespond,
                      queue->m_isPublic ? "" : caller->Tenant() };
  if (call.m_id.empty() && aRequest.m_method == "GET") {
    RespondWithPendingCount(queue->m_name, call);
    return;
  }
  if (!IsJobId(call.m_id)) {
    // The path may have any text, so it is not logged as an id.
    Refuse({ .m_caller = call.m_caller, .m_respond = aRespond },
           "bad_job_id",
           kBadRequest);
    return;
  }
  if (aRequest.m_method == "POST") {
    if (configuration->m_maxBodyBytes > 0 &&
        aRequest.m_body.size() > configuration->m_maxBodyBytes) {
      Refuse(call, "body_too_large", kContentTooLarge);
      return;
    }
    Submit(*configuration, *queue, call, aRequest.m_body);
  } else if (aRequest.m_method == "GET") {
    RespondWithState(call);
  } else if (aRequest.m_method == "DELETE") {
    Cancel(call);
  } else {
    Refuse(call, "bad_method", kMethodNotAllowed);
  }
}

std::string
JobRequestHandler::EntryKey(const std::string& aId) const
{
  return keys::ShardKeys(m_layout()->OfJob(aId)).Entry(aId);
}

void
JobRequestHandler::Refuse(const JobCall& aCall,
                          const char* aReason,
                          int aStatus,
                          const std::string& aDetail)
{
  const std::string& tenant = aCall.m_caller.Tenant();
  m_metrics.Count("bramleystall_job_refusals_total",
                  WithTenant(m_metrics, { { "reason", aReason } }, tenant));
  if (aCall.m_caller.IsAnonymous()) {
    LogRefusals(aReason, aStatus);
    SendRefusal(aReason, aStatus, aDetail, aCall.m_respond);
    return;
  }
  LogInfo(LogPart::Server,
          absl::StrCat("request refused; job=",
                       aCall.m_id,
                       " reason=",
                       aReason,
                       " status=",
                       aStatus,
                       TenantField(tenant),
                       aDetail.empty() ? "" : " detail=",
                       aDetail));
  SendRefusal(aReason, aStatus, aDetail, aCall.m_respond);
}

void
JobRequestHandler::RefuseUnidentified(const char* aReason,
                                      int aStatus,
                                      const HttpListener::Responder& aRespond)
{
  m_metrics.Count("bramleystall_job_refusals_total", { { "reason", aReason } });
  LogRefusals(aReason, aStatus);
  SendRefusal(aReason, aStatus, "", aRespond);
}

std::optional<std::uint64_t>
JobRequestHandler::CountRefusal(const char* aReason)
{
  return m_refusalLogs.try_emplace(aReason, kRefusalLogInterval)
    .first->second.Count(m_loop.Now());
}

void
JobRequestHandler::LogRefusals(const char* aReason, int aStatus)
{
  if (const auto count = CountRefusal(aReason)) {
    LogInfo(LogPart::Server,
            absl::StrCat("request refused; reason=",
                         aReason,
                         " status=",
                         aStatus,
                         " count=",
                         *count));
  }
}

void
JobRequestHandler::SendRefusal(const char* aReason,
                               int aStatus,
                               const std::string& aDetail,
                               const HttpListener::Responder& aRespond)
{
  // A job of another tenant looks like one that does not exist.
  json body = { { "error", aStatus == kGone ? "unknown_job" : aReason } };
  if (!aDetail.empty()) {
    body["detail"] = aDetail;
  }
  ListenerResponse response;
  response.m_status = aStatus;
  response.m_body = body.dump();
  response.m_retryAfterS = aStatus == kUnavailable ? kRetryAfterS : 0;
  aRespond(std::move(response));
}

}
