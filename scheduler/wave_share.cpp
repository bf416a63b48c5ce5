#include "scheduler/wave_share.h"

#include <algorithm>
#include <cstdint>
#include <iterator>

namespace bramleystall {

int
WaveShare(const std::vector<int>& aMachines, int aShard, int aLimit)
{
  // Highest averages method (D'Hondt): with other methods a shard may lose a
  // place when another one completes the wave.
  std::vector<int> shares(aMachines.size(), 0);
  for (int place = 0; place < aLimit; ++place) {
    std::size_t best = aMachines.size();
    for (std::size_t i = 0; i < aMachines.size(); ++i) {
      if (shares[i] >= aMachines[i]) {
        continue;
      }
      const bool isBetter = best == aMachines.size() ||
                            std::int64_t{ aMachines[i] } * (shares[best] + 1) >
                              std::int64_t{ aMachines[best] } * (shares[i] + 1);
      best = isBetter ? i : best;
    }
    if (best == aMachines.size()) {
      break;
    }
    ++shares[best];
  }
  return shares[static_cast<std::size_t>(aShard)];
}

}
