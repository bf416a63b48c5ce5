#include "server/request_id.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <cstdint>
#include <random>

namespace bramleystall {

std::string
NewRequestId()
{
  thread_local std::mt19937_64 sRandom(std::random_device{}());
  const auto millis =
    static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
  const std::uint64_t first = sRandom();
  const std::uint64_t second = sRandom();
  constexpr std::uint64_t kVariant = 0x8000;
  constexpr std::uint64_t kVersion = 0x7000;
  return absl::StrCat(
    absl::Hex((millis >> 16U) & 0xffffffffU, absl::kZeroPad8),
    "-",
    absl::Hex(millis & 0xffffU, absl::kZeroPad4),
    "-",
    absl::Hex(kVersion | (first & 0xfffU), absl::kZeroPad4),
    "-",
    absl::Hex(kVariant | ((first >> 12U) & 0x3fffU), absl::kZeroPad4),
    "-",
    absl::Hex(second & 0xffffffffffffU, absl::kZeroPad12));
}

}
