#pragma once

#include "server/http_message.h"

#include <absl/time/time.h>

#include <string>

namespace bramleystall {

/** Response that a caller received; m_status is 0 when there was none. */
using CallerResult = HttpResponse;

/**
 * Sends one request to 127.0.0.1 on a new connection and reads the whole
 * response. The header names of the response are in lower case.
 */
CallerResult
CallOnce(int aPort,
         const std::string& aMethod,
         const std::string& aTarget,
         const HttpHeaders& aHeaders = {},
         const std::string& aBody = "");

/**
 * Sends raw bytes on a new connection. Returns the bytes received until the
 * peer closes the connection or sends nothing for the time-out.
 */
std::string
SendRaw(int aPort, const std::string& aBytes, absl::Duration aTimeout);

/**
 * Opens a connection to 127.0.0.1 and sends bytes. Returns the socket, which
 * the calling code has to close. Throws std::runtime_error.
 */
int
OpenAndSend(int aPort, const std::string& aBytes);

}
