#pragma once

#include <cstdint>
#include <string>

namespace bramleystall {

/** A start that is sent once its worker is stored with the job. */
struct PlacedStart
{
  std::string m_task;
  std::int64_t m_attempt = 0;
  std::string m_worker;
  std::string m_ticket;
  /** Job::ForgetCount at the placement. */
  int m_forgetCount = 0;
};

}
