#pragma once

#include "dispatch/refusal_reason.h"
#include "dispatch/unknown_reason.h"
#include "server/http_message.h"

#include <string>

namespace bramleystall {

/** Makes the response to a request that was not run (docs/design.md,
 * section 7). */
HttpResponse
MakeRefusal(RefusalReason aReason,
            const std::string& aDetail,
            const std::string& aRequestId);

/** Makes the response (504) to a request that may have been run. */
HttpResponse
MakeUnknown(UnknownReason aReason,
            const std::string& aDetail,
            const std::string& aRequestId);

}
