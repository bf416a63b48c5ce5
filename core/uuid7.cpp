#include "core/uuid7.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace bramleystall {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::array<std::size_t, 4> kHyphens = { 8, 13, 18, 23 };
constexpr std::uint64_t kVersion = 7;
constexpr std::uint64_t kVariant = 2;

std::optional<unsigned>
HexDigit(char aCharacter)
{
  if (aCharacter >= '0' && aCharacter <= '9') {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  if (aCharacter >= 'A' && aCharacter <= 'F') {
    return aCharacter - 'A' + 10;
  }
  return std::nullopt;
}

bool
IsHyphen(std::size_t aPosition)
{
  return std::ranges::find(kHyphens, aPosition) != kHyphens.end();
}

}

std::optional<Uuid7>
Uuid7::Parse(std::string_view aText)
{
  if (aText.size() != kTextLength) {
    return std::nullopt;
  }
  Uuid7 id;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    if (IsHyphen(i)) {
      if (aText[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const auto digit = HexDigit(aText[i]);
    if (!digit) {
      return std::nullopt;
    }
    id.m_high = (id.m_high << 4U) | (id.m_low >> 60U);
    id.m_low = (id.m_low << 4U) | *digit;
  }
  const bool isVersion7 = ((id.m_high >> 12U) & 0xfU) == kVersion;
  if (!isVersion7 || (id.m_low >> 62U) != kVariant) {
    return std::nullopt;
  }
  return id;
}

Uuid7
Uuid7::Make(absl::Time aTime, std::mt19937_64& aRandom)
{
  const auto millis = static_cast<std::uint64_t>(absl::ToUnixMillis(aTime));
  Uuid7 id;
  id.m_high = (millis << 16U) | (kVersion << 12U) | (aRandom() & 0xfffU);
  id.m_low = (kVariant << 62U) | (aRandom() >> 2U);
  return id;
}

std::string
Uuid7::ToString() const
{
  const auto hex = [](std::uint64_t aValue, absl::PadSpec aWidth) {
    return absl::Hex(aValue, aWidth);
  };
  return absl::StrCat(hex(m_high >> 32U, absl::kZeroPad8),
                      "-",
                      hex((m_high >> 16U) & 0xffffU, absl::kZeroPad4),
                      "-",
                      hex(m_high & 0xffffU, absl::kZeroPad4),
                      "-",
                      hex(m_low >> 48U, absl::kZeroPad4),
                      "-",
                      hex(m_low & 0xffffffffffffU, absl::kZeroPad12));
}

}
