#pragma once

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace bramleystall {

/** A version 7 UUID (RFC 9562): 48 bits of Unix milliseconds, then random. */
struct Uuid7
{
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  /** Parses the canonical form, in either case. Returns nothing for other text.
   */
  static std::optional<Uuid7> Parse(std::string_view aText);

  /** Makes an id with the given creation time. */
  static Uuid7 Make(absl::Time aTime, std::mt19937_64& aRandom);

  /** Creation time in milliseconds since the Unix epoch. */
  std::int64_t CreatedMillis() const
  {
    return static_cast<std::int64_t>(m_high >> 16U);
  }

  /** The canonical lower-case form with hyphens. */
  std::string ToString() const;

  auto operator<=>(const Uuid7&) const = default;

  template<typename Hash>
  friend Hash AbslHashValue(Hash aHash, const Uuid7& aId)
  {
    return Hash::combine(std::move(aHash), aId.m_high, aId.m_low);
  }
};

}
