#pragma once

#include "admission/read_turns.h"

#include <deque>
#include <functional>

struct MHD_Connection;

namespace bramleystall {

class ConnectionTable;

/**
 * Carries out the decisions of ReadTurns for a daemon of libmicrohttpd:
 * suspends a connection whose next part has to wait, and resumes waiting
 * connections in the order in which they began to wait. For a daemon
 * that is run by one thread.
 */
class ReadPacer
{
public:
  /** aOnWaiting is called when a connection begins to wait and no other one
   * does; it must not call back. aTable outlives the object. */
  ReadPacer(ReadTurnLimits aLimits,
            const ConnectionTable& aTable,
            std::function<void()> aOnWaiting);
  ReadPacer(const ReadPacer&) = delete;
  ReadPacer& operator=(const ReadPacer&) = delete;

  /** Whether a part of a body may be read now. If not, the connection is
   * suspended, and the access handler has to leave the part unread. */
  bool MayRead(MHD_Connection& aConnection, ReadTurns::Reader& aReader);

  /** Other work had a turn. */
  void BeginTurn() { m_turns.BeginTurn(); }

  /** Resumes the connections of the turn's next round. Returns false if none
   * waits or the turn is over. */
  bool ResumeNext();

  bool HasWaiting() const { return !m_waiting.empty(); }

  /** Resumes all connections and suspends none from now on, so that the daemon
   * can be stopped. */
  void Stop();

private:
  /** Dropped connections need no turn, and are closed once they are resumed. */
  bool ResumeDropped();

  const ConnectionTable& m_table;
  const std::function<void()> m_onWaiting;
  ReadTurns m_turns;
  std::deque<MHD_Connection*> m_waiting;
  bool m_isStopped = false;
};

}
