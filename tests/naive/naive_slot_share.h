#pragma once

#include <cstddef>

namespace bramleystall {

/** Slots of a worker for each daemon if all daemons get the same fixed share.
 */
int
NaiveSlotShare(int aSlots, std::size_t aAliveDaemons);

}
