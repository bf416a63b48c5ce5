#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bramleystall {

/** Schemas of `core/schemas/`, which are compiled into the programs. */
enum class SchemaName
{
  Service,
  Fleet,
  DaemonSettings,
  ToolSettings,
};

/** Largest file that is read, in bytes; the store holds values up to 1 MB. */
inline constexpr std::size_t kMaxJsonBytes = 1'000'000;

/** JSON text of a schema. */
std::string_view
SchemaText(SchemaName aName);

/**
 * Parses JSON text and validates it against a schema. Appends one line for each
 * error, "FILE: POINTER: value VALUE, expected ...", and returns null when
 * there was any.
 */
nlohmann::json
ParseChecked(SchemaName aSchema,
             const std::string& aFile,
             const std::string& aText,
             std::vector<std::string>& aErrors);

/** Reads a file of at most kMaxJsonBytes, then acts as ParseChecked does. */
nlohmann::json
LoadChecked(SchemaName aSchema,
            const std::string& aPath,
            std::vector<std::string>& aErrors);

/** Replaces control characters and non-ASCII bytes by '?' and truncates the
 * text to a length, which "..." then follows, so that it fits on one line of a
 * message. */
std::string
ToPrintableLine(std::string_view aText, std::size_t aMaxLength);

/** Throws Error (InvalidInput) with all lines when there are any. */
void
ThrowIfAny(const std::vector<std::string>& aErrors);

}
