#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace bramleystall {

/** Limits of a process from its settings. The defaults are those of the
 * smallest VM. */
struct ProcessLimits
{
  /** Smallest accepted values: an idle process takes about 16 MiB, and 200
   * descriptors are for files. */
  static constexpr std::int64_t kMinMemoryMb = 32;
  static constexpr std::int64_t kMinDescriptors = 264;
  /** A request has to have the time that its caller waits, 3,000 ms. */
  static constexpr std::int64_t kMinRequestReadTimeoutMs = 3'000;

  /** `memory_mb`: memory of the process in MiB. */
  std::int64_t m_memoryMb = 160;
  /** `max_fds`: descriptors that the process may have open, files included. */
  std::int64_t m_maxDescriptors = 4'100;
  /** `request_read_timeout_ms`: time from a request's first byte within which
   * it has to be complete. Ten times the 3,000 ms that callers wait, twice the
   * idle timeout of 15,000 ms. */
  absl::Duration m_requestReadTimeout = absl::Seconds(30);
};

}
