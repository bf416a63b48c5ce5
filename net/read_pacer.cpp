#include "net/read_pacer.h"

#include "net/connection_table.h"
#include "net/listener_callbacks.h"

#include <microhttpd.h>

#include <algorithm>
#include <utility>

namespace bramleystall {

ReadPacer::ReadPacer(ReadTurnLimits aLimits,
                     const ConnectionTable& aTable,
                     std::function<void()> aOnWaiting)
  : m_table(aTable)
  , m_onWaiting(std::move(aOnWaiting))
  , m_turns(aLimits)
{
}

bool
ReadPacer::MayRead(MHD_Connection& aConnection, ReadTurns::Reader& aReader)
{
  // The access handler closes a dropped connection, which takes no time.
  if (m_isStopped || m_turns.TakePart(aReader) ||
      m_table.IsDropped(EntryOf(&aConnection))) {
    return true;
  }
  MHD_suspend_connection(&aConnection);
  m_waiting.push_back(&aConnection);
  if (m_waiting.size() == 1) {
    m_onWaiting();
  }
  return false;
}

bool
ReadPacer::ResumeNext()
{
  bool hasResumed = ResumeDropped();
  if (m_waiting.empty()) {
    return hasResumed;
  }
  for (std::size_t left = m_turns.NextReaders(); left > 0 && !m_waiting.empty();
       --left) {
    MHD_resume_connection(m_waiting.front());
    m_waiting.pop_front();
    hasResumed = true;
  }
  return hasResumed;
}

bool
ReadPacer::ResumeDropped()
{
  const auto dropped = std::stable_partition(
    m_waiting.begin(), m_waiting.end(), [this](MHD_Connection* aConnection) {
      return !m_table.IsDropped(EntryOf(aConnection));
    });
  const bool hasDropped = dropped != m_waiting.end();
  std::for_each(dropped, m_waiting.end(), MHD_resume_connection);
  m_waiting.erase(dropped, m_waiting.end());
  return hasDropped;
}

void
ReadPacer::Stop()
{
  m_isStopped = true;
  std::ranges::for_each(m_waiting, MHD_resume_connection);
  m_waiting.clear();
}

}
