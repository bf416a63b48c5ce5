#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

enum class OutputFormat
{
  Text,
  Json,
};

inline constexpr EnumNames<OutputFormat, 2> kOutputFormatNames = { {
  { OutputFormat::Text, "text" },
  { OutputFormat::Json, "json" },
} };

/** Parsed command line of the tool. */
struct ToolInvocation
{
  /** Command and its arguments, without flags. */
  std::vector<std::string> m_words;
  std::string m_settingsPath;
  OutputFormat m_output = OutputFormat::Text;
  /** Longest time that `publish` waits for the daemons; zero for no wait. */
  absl::Duration m_wait;
  /** Version that `publish` may replace; any version when not set. */
  std::optional<std::uint64_t> m_expectedVersion;
};

}
