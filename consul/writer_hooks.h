#pragma once

#include <absl/time/time.h>

#include <functional>
#include <string>

namespace bramleystall {

/**
 * Clock, sleep and token functions of a writer of store documents, which tests
 * replace.
 */
struct WriterHooks
{
  /** Returns the wall-clock time. */
  std::function<absl::Time()> m_now;
  /** Waits before the next attempt. */
  std::function<void(absl::Duration)> m_sleep;
  /** Returns a token that is unique to one write. */
  std::function<std::string()> m_makeToken;
};

/** Hooks that use the system clock and random tokens. */
WriterHooks
SystemWriterHooks();

/** Returns a string of random hexadecimal digits. */
std::string
RandomHex(int aDigits);

/**
 * Delay after a failed attempt, counted from 1, before the next one:
 * exponential with full jitter, so that many clients do not load a recovering
 * store at the same time.
 */
absl::Duration
RetryDelay(int aAttempt);

}
