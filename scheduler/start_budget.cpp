#include "scheduler/start_budget.h"

#include <utility>

namespace bramleystall {

namespace {

/** A job with less than this part of the limit has few open starts. */
constexpr std::int64_t kFewParts = 64;
/** Part of the limit that is left to jobs with few open starts. */
constexpr std::int64_t kReservedParts = 4;
/** Copies of a start's texts: in the order, its body and the transfer. */
constexpr std::int64_t kTextCopies = 3;

}

StartBudget::StartBudget(std::int64_t aLimit)
  : m_limit(aLimit)
{
}

bool
StartBudget::Allows(const std::string& aJob)
{
  const auto found = m_open->m_byJob.find(aJob);
  const std::int64_t ofJob = found == m_open->m_byJob.end() ? 0 : found->second;
  const bool hasFew = ofJob < m_limit / kFewParts;
  const std::int64_t reserved = hasFew ? 0 : m_limit / kReservedParts;
  const bool isAllowed = m_open->m_total < m_limit - reserved;
  m_hasRefused |= !isAllowed;
  return isAllowed;
}

StartBudget::OpenStart
StartBudget::Open(const std::string& aJob, std::size_t aTextSize)
{
  const std::int64_t size =
    kStartSize + kTextCopies * static_cast<std::int64_t>(aTextSize);
  m_open->m_total += size;
  m_open->m_byJob[aJob] += size;
  return { nullptr, [open = m_open, aJob, size](const void*) {
            open->m_total -= size;
            const auto found = open->m_byJob.find(aJob);
            found->second -= size;
            if (found->second == 0) {
              open->m_byJob.erase(found);
            }
          } };
}

bool
StartBudget::TakeRefusal()
{
  return std::exchange(m_hasRefused, false);
}

}
