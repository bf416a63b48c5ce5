#include "cli/text_table.h"

#include "core/clock.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleystall {

namespace {

using nlohmann::json;

std::string
ScalarText(const json& aValue)
{
  if (aValue.is_string()) {
    // Control characters would break the table or, as part of an escape
    // sequence, change the state of the operator's terminal.
    std::string text = aValue.get<std::string>();
    std::ranges::replace_if(
      text,
      [](unsigned char aChar) { return aChar < ' ' || aChar == 127; },
      '?');
    return text;
  }
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

void
AppendEntry(std::string& aOut,
            const std::string& aLabel,
            const json& aValue,
            int aIndent)
{
  const std::string margin(static_cast<std::size_t>(aIndent), ' ');
  if (aValue.is_structured()) {
    absl::StrAppend(&aOut,
                    margin,
                    aLabel,
                    aValue.empty() ? " none\n" : "\n",
                    FormatObject(aValue, aIndent + 2));
    return;
  }
  absl::StrAppend(&aOut, margin, aLabel, " ", ScalarText(aValue), "\n");
}

}

std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const bool isLast = i + 1 == row.size();
      const std::size_t padding = isLast ? 0 : widths[i] - row[i].size() + 2;
      absl::StrAppend(&line, row[i], std::string(padding, ' '));
    }
    absl::StrAppend(&text, line, "\n");
  }
  return text;
}

std::string
TextOf(const json& aObject, const std::string& aKey)
{
  if (!aObject.is_object() || !aObject.contains(aKey)) {
    return "-";
  }
  const std::string text = ScalarText(aObject[aKey]);
  return text.empty() ? "-" : text;
}

std::string
TimeOf(const json& aObject, const std::string& aKey)
{
  if (!aObject.is_object() || !aObject.contains(aKey) ||
      !aObject[aKey].is_number_integer()) {
    return "-";
  }
  return absl::FormatTime("%Y-%m-%d %H:%M:%SZ",
                          FromMillis(aObject[aKey].get<std::int64_t>()),
                          absl::UTCTimeZone());
}

std::string
FormatObject(const json& aJson, int aIndent)
{
  std::string text;
  if (aJson.is_object()) {
    for (const auto& [key, value] : aJson.items()) {
      AppendEntry(text, absl::StrCat(key, ":"), value, aIndent);
    }
  } else if (aJson.is_array()) {
    for (const json& value : aJson) {
      AppendEntry(text, "-", value, aIndent);
    }
  } else {
    AppendEntry(text, "", aJson, aIndent);
  }
  return text;
}

}
