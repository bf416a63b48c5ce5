#include "review/world/record.h"

namespace review {

Record::Record(const std::string& aPath)
  : m_begin(std::chrono::steady_clock::now())
  , m_file(aPath)
{
}

std::int64_t
Record::NowMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - m_begin)
    .count();
}

void
Record::Add(const std::string& aLine)
{
  const std::int64_t now = NowMs();
  const std::lock_guard lock(m_mutex);
  m_file << now << " ms " << aLine << std::endl;
}

}
