#include "admission/read_turns.h"

namespace bramleystall {

bool
ReadTurns::TakePart(Reader& aReader)
{
  if (aReader.m_round != m_round) {
    aReader.m_round = m_round;
    aReader.m_parts = 0;
  }
  if (m_parts >= m_limits.m_parts ||
      aReader.m_parts >= m_limits.m_connectionParts) {
    return false;
  }
  ++m_parts;
  ++aReader.m_parts;
  return true;
}

void
ReadTurns::BeginTurn()
{
  m_parts = 0;
  ++m_round;
}

std::size_t
ReadTurns::NextReaders()
{
  const int left = m_limits.m_parts - m_parts;
  if (left <= 0) {
    return 0;
  }
  ++m_round;
  const int readers =
    (left + m_limits.m_connectionParts - 1) / m_limits.m_connectionParts;
  return static_cast<std::size_t>(readers);
}

}
