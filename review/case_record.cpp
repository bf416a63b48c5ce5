#include "review/case_record.h"

namespace second_review {

CaseRecord::CaseRecord(const std::string& aPath)
  : m_begin(std::chrono::steady_clock::now())
  , m_file(aPath)
{
}

std::int64_t
CaseRecord::NowMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - m_begin)
    .count();
}

void
CaseRecord::Add(const std::string& aLine)
{
  const std::int64_t now = NowMs();
  const std::lock_guard lock(m_mutex);
  m_file << now << " ms " << aLine << std::endl;
}

}
