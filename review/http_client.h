#pragma once

#include "review/http_message.h"

#include <string>

namespace second_review {

/** Sends a request on a new connection to a loopback address and waits for the
 * response, for aTimeoutMs at most. */
HttpResponse
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aHost,
     const std::string& aBody,
     int aTimeoutMs);

}
