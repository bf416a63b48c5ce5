#include "core/clock.h"

#include <ctime>

namespace bramleystall {

absl::Time
MonotonicNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

}
