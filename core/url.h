#pragma once

#include <string>

namespace bramleystall {

/** Percent-encodes a text for use as one part of a URL path or query. */
std::string
EncodeUrlPart(const std::string& aText);

}
