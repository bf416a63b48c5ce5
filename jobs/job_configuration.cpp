#include "jobs/job_configuration.h"

#include <algorithm>

namespace bramleystall {

const QueueSpec*
JobConfiguration::Match(const std::string& aHost,
                        const std::string& aPath) const
{
  const QueueSpec* best = nullptr;
  for (const QueueSpec& queue : m_queues) {
    const bool isMatch =
      queue.m_host == aHost && aPath.starts_with(queue.m_prefix);
    if (isMatch &&
        (best == nullptr || queue.m_prefix.size() > best->m_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueSpec*
JobConfiguration::Find(const std::string& aQueue) const
{
  const auto found = std::ranges::find(m_queues, aQueue, &QueueSpec::m_name);
  return found == m_queues.end() ? nullptr : &*found;
}

}
