#include "server/request_id.h"

#include "core/uuid7.h"

#include <absl/time/clock.h>

#include <random>

namespace bramleystall {

std::string
NewRequestId()
{
  thread_local std::mt19937_64 sRandom(std::random_device{}());
  return Uuid7::Make(absl::Now(), sRandom).ToString();
}

}
