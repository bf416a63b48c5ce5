#include "core/task_queue.h"

#include <utility>

namespace bramleystall {

TaskQueue::TaskQueue()
  : m_thread([this](const std::stop_token& aStop) { Run(aStop); })
{
}

TaskQueue::~TaskQueue()
{
  m_thread.request_stop();
  m_thread.join();
}

void
TaskQueue::Post(Task aTask)
{
  {
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(aTask));
  }
  m_changed.notify_one();
}

void
TaskQueue::Run(const std::stop_token& aStop)
{
  std::unique_lock lock(m_mutex);
  while (m_changed.wait(lock, aStop, [this] { return !m_tasks.empty(); })) {
    const Task task = std::move(m_tasks.front());
    m_tasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}
