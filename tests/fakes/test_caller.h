#pragma once

#include "server/http_message.h"

#include <absl/time/time.h>

#include <string>

namespace bramleystall {

/** Response as a caller received it; m_status is 0 when there was none. */
using CallerResult = HttpResponse;

/**
 * Sends one request on a new connection and reads the whole response. Headers
 * of the response have their names in lower case.
 */
CallerResult
CallOnce(int aPort,
         const std::string& aMethod,
         const std::string& aTarget,
         const HttpHeaders& aHeaders = {},
         const std::string& aBody = "");

/** Sends raw bytes on a new connection and returns all bytes until the other
 * end closes or the time is over. */
std::string
SendRaw(int aPort, const std::string& aBytes, absl::Duration aTimeout);

/** Opens a connection to 127.0.0.1 and sends bytes. The caller closes it. */
int
OpenAndSend(int aPort, const std::string& aBytes);

}
