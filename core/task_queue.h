#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>

namespace bramleystall {

/**
 * Runs functions in order on its own thread, so that a caller that holds a lock
 * can schedule work that needs the same lock.
 */
class TaskQueue
{
public:
  using Task = std::function<void()>;

  TaskQueue();
  /** Runs the queued tasks, then joins the thread. */
  ~TaskQueue();
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  /** Queues a task without waiting for any to run. Safe to call from any
   * thread. */
  void Post(Task aTask);

private:
  void Run(const std::stop_token& aStop);

  std::mutex m_mutex;
  std::condition_variable_any m_changed;
  std::deque<Task> m_tasks;
  std::jthread m_thread;
};

}
