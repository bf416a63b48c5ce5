#include "admission/read_turns.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

int
PartsUntilWait(ReadTurns& aTurns, ReadTurns::Reader& aReader)
{
  constexpr int kMost = 100;
  int parts = 0;
  while (parts < kMost && aTurns.TakePart(aReader)) {
    ++parts;
  }
  return parts;
}

}

// Guards against one client that takes a whole turn while others wait.
TEST_CASE("Connections share a turn in rounds", "[admission]")
{
  ReadTurns turns({ .m_parts = 10, .m_connectionParts = 4 });
  ReadTurns::Reader first;
  ReadTurns::Reader second;
  CHECK(PartsUntilWait(turns, first) == 4);
  CHECK(PartsUntilWait(turns, second) == 4);
  CHECK(turns.NextReaders() == 1);
  CHECK(PartsUntilWait(turns, first) == 2);
  CHECK(PartsUntilWait(turns, second) == 0);
  CHECK(turns.NextReaders() == 0);
}

// Guards against a client without competitors that gets only its share.
TEST_CASE("A connection alone may take a whole turn", "[admission]")
{
  ReadTurns turns({ .m_parts = 10, .m_connectionParts = 4 });
  ReadTurns::Reader reader;
  int parts = PartsUntilWait(turns, reader);
  while (turns.NextReaders() > 0) {
    parts += PartsUntilWait(turns, reader);
  }
  CHECK(parts == 10);
  turns.BeginTurn();
  CHECK(PartsUntilWait(turns, reader) == 4);
  CHECK(turns.NextReaders() == 2);
}
