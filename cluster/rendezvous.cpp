#include "cluster/rendezvous.h"

#include <xxhash.h>

namespace bramleystall {

std::uint64_t
RendezvousWeight(std::string_view aKey,
                 std::string_view aNode,
                 std::uint64_t aIncarnation)
{
  const std::uint64_t seed =
    XXH3_64bits_withSeed(aNode.data(), aNode.size(), aIncarnation);
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
}

std::uint64_t
DigestOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

}
