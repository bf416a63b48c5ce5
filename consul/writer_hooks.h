#pragma once

#include <absl/time/time.h>

#include <functional>
#include <string>

namespace bramleystall {

/** What a writer of store documents takes from its surroundings. */
struct WriterHooks
{
  /** Wall-clock time. */
  std::function<absl::Time()> m_now;
  /** Waits before another attempt. */
  std::function<void(absl::Duration)> m_sleep;
  /** Returns a token that no other write has. */
  std::function<std::string()> m_makeToken;
};

/** Hooks that use the system's clock and random numbers. */
WriterHooks
SystemWriterHooks();

/** Random text of hexadecimal digits. */
std::string
RandomHex(int aDigits);

/**
 * Pause before an attempt, counted from 1: exponential with full jitter, so
 * that many clients do not return to a recovering store at once.
 */
absl::Duration
RetryDelay(int aAttempt);

}
