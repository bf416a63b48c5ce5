#include "tests/naive/naive_slot_share.h"

namespace bramleystall {

int
NaiveSlotShare(int aSlots, std::size_t aAliveDaemons)
{
  return aAliveDaemons == 0 ? 0 : aSlots / static_cast<int>(aAliveDaemons);
}

}
