#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace second_review {

/** The log of a case: what was sent, answered and run, with times. */
class CaseRecord
{
public:
  explicit CaseRecord(const std::string& aPath);

  void Add(const std::string& aLine);
  /** Milliseconds since the case began. */
  std::int64_t NowMs() const;

private:
  std::chrono::steady_clock::time_point m_begin;
  std::mutex m_mutex;
  std::ofstream m_file;
};

}
