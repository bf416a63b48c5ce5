#include "server/http_message.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace bramleystall {

namespace {

constexpr std::array<absl::string_view, 11> kHopByHopHeaders = {
  "Connection", "Content-Length",   "Expect",
  "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
  "TE",         "Trailer",          "Proxy-Authorization",
  "Upgrade",    "Transfer-Encoding"
};

bool
EqualNames(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(
    absl::string_view(aLeft.data(), aLeft.size()),
    absl::string_view(aRight.data(), aRight.size()));
}

std::vector<std::string>
ConnectionOptions(const HttpHeaders& aHeaders)
{
  std::vector<std::string> options;
  for (const auto& [name, value] : aHeaders) {
    if (!EqualNames(name, "Connection")) {
      continue;
    }
    for (const absl::string_view option : absl::StrSplit(value, ',')) {
      options.emplace_back(absl::StripAsciiWhitespace(option));
    }
  }
  return options;
}

}

const std::string*
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  const auto found =
    std::ranges::find_if(aHeaders, [aName](const auto& aHeader) {
      return EqualNames(aHeader.first, aName);
    });
  return found == aHeaders.end() ? nullptr : &found->second;
}

int
CountHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  return static_cast<int>(
    std::ranges::count_if(aHeaders, [aName](const auto& aHeader) {
      return EqualNames(aHeader.first, aName);
    }));
}

HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders)
{
  const std::vector<std::string> options = ConnectionOptions(aHeaders);
  HttpHeaders kept;
  for (const auto& header : aHeaders) {
    const auto isSame = [&header](const auto& aName) {
      return absl::EqualsIgnoreCase(header.first, aName);
    };
    if (std::ranges::none_of(kHopByHopHeaders, isSame) &&
        std::ranges::none_of(options, isSame)) {
      kept.push_back(header);
    }
  }
  return kept;
}

bool
HasDotSegment(std::string_view aPath)
{
  const std::string path =
    absl::StrReplaceAll(absl::string_view(aPath.data(), aPath.size()),
                        { { "%2e", "." },
                          { "%2E", "." },
                          { "%2f", "/" },
                          { "%2F", "/" },
                          { "%5c", "/" },
                          { "%5C", "/" },
                          { "\\", "/" } });
  const std::vector<absl::string_view> segments = absl::StrSplit(path, '/');
  return std::ranges::any_of(segments, [](absl::string_view aSegment) {
    return aSegment == "." || aSegment == "..";
  });
}

}
