#pragma once

#include <cstddef>
#include <cstdint>

namespace bramleystall {

/** Most parts of request bodies that a listener reads before other work gets a
 * turn. A part is what the HTTP library delivers at once: a buffer or, if that
 * is smaller, a chunk. */
struct ReadTurnLimits
{
  /** In a turn. */
  int m_parts = 0;
  /** From one connection before the next one is read. */
  int m_connectionParts = 0;
};

/**
 * Divides the reading of request bodies into turns, so that clients whose
 * bodies have many small parts cannot keep a thread from its other work, nor
 * from each other's requests (round robin). Not thread-safe.
 */
class ReadTurns
{
public:
  /** What a connection has read in the current round. */
  class Reader
  {
    friend class ReadTurns;
    std::uint64_t m_round = 0;
    int m_parts = 0;
  };

  explicit ReadTurns(ReadTurnLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /** Whether a connection may read a part now, which then counts as read.
   * Otherwise it has to wait for NextReaders. */
  bool TakePart(Reader& aReader);

  /** Other work had a turn. */
  void BeginTurn();

  /** Begins a round and returns the number of waiting connections that may take
   * part in it, the first one in the queue first; 0 if the turn is over. */
  std::size_t NextReaders();

private:
  const ReadTurnLimits m_limits;
  std::uint64_t m_round = 1;
  /** Parts read in the current turn. */
  int m_parts = 0;
};

}
