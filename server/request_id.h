#pragma once

#include <string>

namespace bramleystall {

/** Makes a version 7 UUID (RFC 9562) of the current wall-clock time. */
std::string
NewRequestId();

}
