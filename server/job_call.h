#pragma once

#include "net/http_listener.h"
#include "server/caller_identity.h"

#include <string>

namespace bramleystall {

/** A caller's request about a job, or about a queue, while it is handled. */
struct JobCall
{
  /** Job's id; empty for a request about a queue. */
  std::string m_id;
  CallerIdentity m_caller;
  HttpListener::Responder m_respond;
  /** Tenant that the job's entry names if this call submits it; see
   * TenantOfEntry. */
  std::string m_entryTenant;
};

}
