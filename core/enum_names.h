#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace bramleystall {

/**
 * Table of the names of an enumeration, in the order of its values. Each
 * enumeration has one as `constexpr EnumNames<E, N> kENames`.
 */
template<typename Enum, std::size_t kCount>
using EnumNames = std::array<std::pair<Enum, std::string_view>, kCount>;

/** Name of a value, or "unknown" when the table lacks it. */
template<typename Enum, std::size_t kCount>
constexpr std::string_view
NameOf(const EnumNames<Enum, kCount>& aTable, Enum aValue)
{
  const auto found = std::ranges::find(
    aTable, aValue, &std::pair<Enum, std::string_view>::first);
  return found == aTable.end() ? "unknown" : found->second;
}

/** Value of a name, or nothing when the table lacks it. */
template<typename Enum, std::size_t kCount>
constexpr std::optional<Enum>
ValueOf(const EnumNames<Enum, kCount>& aTable, std::string_view aName)
{
  const auto found = std::ranges::find(
    aTable, aName, &std::pair<Enum, std::string_view>::second);
  if (found == aTable.end()) {
    return std::nullopt;
  }
  return found->first;
}

}
