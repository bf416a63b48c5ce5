#pragma once

#include <cstdint>
#include <string_view>

namespace bramleystall {

/**
 * Rendezvous weight (XXH3, 64 bits) of a node for a key. The node with the
 * highest weight is chosen, so a node that joins or leaves changes the choice
 * only for the keys that it gains or loses.
 */
std::uint64_t
RendezvousWeight(std::string_view aKey,
                 std::string_view aNode,
                 std::uint64_t aIncarnation);

/** XXH3 hash (64 bits) of text, to compare sets held by two daemons. */
std::uint64_t
DigestOf(std::string_view aText);

}
