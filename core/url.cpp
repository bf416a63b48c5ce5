#include "core/url.h"

#include <absl/strings/str_cat.h>

#include <cctype>

namespace bramleystall {

std::string
EncodeUrlPart(const std::string& aText)
{
  std::string encoded;
  for (const unsigned char c : aText) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded.push_back(static_cast<char>(c));
    } else {
      absl::StrAppend(&encoded, "%", absl::Hex(c, absl::kZeroPad2));
    }
  }
  return encoded;
}

}
