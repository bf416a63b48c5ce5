#pragma once

#include <cstddef>

namespace bramleystall {

/** Slots of a worker for each daemon when all get the same fixed share. */
int
NaiveSlotShare(int aSlots, std::size_t aAliveDaemons);

}
