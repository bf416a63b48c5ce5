#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace bramleystall {

/**
 * Limits the log lines about events that untrusted clients cause: one line a
 * second for each reason, with the number of events since the last line. Not
 * thread-safe.
 */
class LogLimiter
{
public:
  /** Records an event. */
  void Add(const std::string& aReason) { ++m_entries[aReason].m_count; }

  /** Calls aWrite(reason, count) for each reason that has events and whose last
   * line is at least a second old. */
  template<typename Write>
  void Flush(absl::Time aNow, const Write& aWrite)
  {
    for (auto& [reason, entry] : m_entries) {
      if (entry.m_count > 0 && aNow >= entry.m_lastLine + kInterval) {
        aWrite(reason, entry.m_count);
        entry = { .m_count = 0, .m_lastLine = aNow };
      }
    }
  }

private:
  static constexpr absl::Duration kInterval = absl::Seconds(1);
  struct Entry
  {
    std::uint64_t m_count = 0;
    absl::Time m_lastLine = absl::InfinitePast();
  };
  std::map<std::string, Entry> m_entries;
};

}
