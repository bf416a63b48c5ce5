#include "review/record.h"

#include <algorithm>
#include <chrono>
#include <fstream>

namespace bramleystall::review {

namespace {

const std::chrono::steady_clock::time_point kStart =
  std::chrono::steady_clock::now();

}

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - kStart)
    .count();
}

void
Record::Add(const std::string& aLine)
{
  AddAt(NowMs(), aLine);
}

void
Record::AddAt(std::int64_t aTimeMs, const std::string& aLine)
{
  const std::lock_guard lock(m_mutex);
  m_lines.push_back({ aTimeMs, aLine });
}

void
Record::WriteTo(const std::string& aPath) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<Line> lines = m_lines;
  std::ranges::stable_sort(lines, {}, &Line::m_timeMs);
  std::ofstream file(aPath);
  for (const Line& line : lines) {
    file << line.m_timeMs << " ms  " << line.m_text << "\n";
  }
}

}
