#include "consul/writer_hooks.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cstdint>
#include <random>

namespace bramleystall {

namespace {

constexpr absl::Duration kFirstRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(2);
constexpr int kWriterTokenDigits = 32;

}

WriterHooks
SystemWriterHooks()
{
  return { absl::Now, absl::SleepFor, [] {
            return RandomHex(kWriterTokenDigits);
          } };
}

std::string
RandomHex(int aDigits)
{
  std::random_device source;
  std::string text;
  while (text.size() < static_cast<std::size_t>(aDigits)) {
    absl::StrAppend(
      &text, absl::Hex(static_cast<std::uint32_t>(source()), absl::kZeroPad8));
  }
  text.resize(static_cast<std::size_t>(aDigits));
  return text;
}

absl::Duration
RetryDelay(int aAttempt)
{
  absl::Duration limit = kFirstRetryDelay;
  for (int i = 1; i < aAttempt && limit < kMaxRetryDelay; ++i) {
    limit *= 2;
  }
  limit = std::min(limit, kMaxRetryDelay);
  std::random_device source;
  return limit * std::uniform_real_distribution<double>(0, 1)(source);
}

}
