#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace bramleystall::review {

/** Milliseconds of the steady clock since the start of the program. */
std::int64_t
NowMs();

/** Thread-safe list of what was sent, answered and run, in order. */
class Record
{
public:
  void Add(const std::string& aLine);
  /** Adds a line with a given time, for events that are noticed later. */
  void AddAt(std::int64_t aTimeMs, const std::string& aLine);
  /** Writes all lines, sorted by time. */
  void WriteTo(const std::string& aPath) const;

private:
  struct Line
  {
    std::int64_t m_timeMs = 0;
    std::string m_text;
  };

  mutable std::mutex m_mutex;
  std::vector<Line> m_lines;
};

}
