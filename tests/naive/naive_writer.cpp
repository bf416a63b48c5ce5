#include "tests/naive/naive_writer.h"

namespace bramleystall {

WriteOutcome
NaiveWrite(PlatformStore& aStore, const FencedWrite& aWrite)
{
  // The store interface has no unconditional write, so the current revision is
  // read just before each attempt.
  constexpr int kMaxAttempts = 4;
  for (int i = 0; i < kMaxAttempts; ++i) {
    std::vector<StoreWrite> writes = aWrite.m_writes;
    for (auto& write : writes) {
      const auto value = aStore.Get(write.m_key);
      write.m_expectedRevision = value ? value->m_revision : 0;
    }
    const WriteOutcome outcome = aStore.Write(writes, std::nullopt);
    if (outcome == WriteOutcome::Applied) {
      return outcome;
    }
    if (outcome == WriteOutcome::Unknown) {
      return WriteOutcome::Conflict;
    }
  }
  return WriteOutcome::Conflict;
}

}
