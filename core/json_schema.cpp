#include "core/json_schema.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_replace.h>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>

namespace bramleystall {

namespace {

using nlohmann::json;

/** Recursion over a deeper document could exhaust the stack; no document needs
 * more levels. */
constexpr std::size_t kMaxNestingDepth = 32;
constexpr std::size_t kMaxShownValueLength = 60;
constexpr std::size_t kMaxShownDetailLength = 160;

std::string
EscapePointer(const std::string& aKey)
{
  return absl::StrReplaceAll(aKey, { { "~", "~0" }, { "/", "~1" } });
}

/** Formats a JSON pointer; the empty pointer refers to the whole document. */
std::string
FormatPointer(const std::string& aPointer)
{
  return aPointer.empty() ? "/"
                          : ToPrintableLine(aPointer, kMaxShownDetailLength);
}

std::string
FormatPosition(const std::string& aText, std::size_t aByte)
{
  const std::size_t end = std::min(aByte == 0 ? 0 : aByte - 1, aText.size());
  const std::string_view before(aText.data(), end);
  const auto line = 1 + std::ranges::count(before, '\n');
  const std::size_t lineStart = before.rfind('\n');
  const std::size_t column =
    end - (lineStart == std::string_view::npos ? 0 : lineStart + 1) + 1;
  return absl::StrCat("line ", line, ", column ", column);
}

/**
 * Reports what the library's parser accepts silently: duplicate keys, which
 * would hide a value, and deep nesting. Also reports syntax errors.
 */
class StructureChecker : public nlohmann::json_sax<json>
{
public:
  StructureChecker(const std::string& aFile,
                   const std::string& aText,
                   std::vector<std::string>& aErrors)
    : m_file(aFile)
    , m_text(aText)
    , m_errors(aErrors)
  {
  }

  // The names of these members are those of the library's interface.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return Value(); }
  bool boolean(bool) override { return Value(); }
  bool number_integer(number_integer_t) override { return Value(); }
  bool number_unsigned(number_unsigned_t) override { return Value(); }
  bool number_float(number_float_t, const string_t&) override
  {
    return Value();
  }
  bool string(string_t&) override { return Value(); }
  bool binary(binary_t&) override { return Value(); }
  bool start_object(std::size_t) override { return Enter(true); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(false); }
  bool end_array() override { return Leave(); }

  bool key(string_t& aKey) override
  {
    Level& level = m_levels.back();
    level.m_key = aKey;
    if (!level.m_keys.insert(aKey).second) {
      m_errors.push_back(
        absl::StrCat(m_file,
                     ": ",
                     FormatPointer(Pointer()),
                     ": duplicate key, expected each key once"));
    }
    return true;
  }

  bool parse_error(std::size_t aPosition,
                   const std::string&,
                   const json::exception& aError) override
  {
    const std::string what = aError.what();
    const bool isUtf8 = what.find("ill-formed UTF-8") != std::string::npos;
    const std::size_t detail = what.find("; last read");
    const std::size_t start = what.find(" - ");
    std::string shown = isUtf8 ? "invalid UTF-8" : "not valid JSON";
    if (!isUtf8 && start != std::string::npos) {
      absl::StrAppend(
        &shown,
        " (",
        ToPrintableLine(what.substr(start + 3), kMaxShownDetailLength),
        ")");
    } else if (!isUtf8 && detail == std::string::npos) {
      absl::StrAppend(
        &shown, " (", ToPrintableLine(what, kMaxShownDetailLength), ")");
    }
    m_errors.push_back(absl::StrCat(
      m_file, ": ", FormatPosition(m_text, aPosition), ": ", shown));
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  struct Level
  {
    bool m_isObject = false;
    std::string m_key;
    std::size_t m_index = 0;
    std::set<std::string> m_keys;
  };

  std::string Pointer() const
  {
    std::string pointer;
    for (const Level& level : m_levels) {
      absl::StrAppend(&pointer,
                      "/",
                      level.m_isObject ? EscapePointer(level.m_key)
                                       : absl::StrCat(level.m_index));
    }
    return pointer;
  }

  bool Value()
  {
    if (!m_levels.empty() && !m_levels.back().m_isObject) {
      ++m_levels.back().m_index;
    }
    return true;
  }

  bool Enter(bool aIsObject)
  {
    if (m_levels.size() >= kMaxNestingDepth) {
      m_errors.push_back(absl::StrCat(m_file,
                                      ": ",
                                      FormatPointer(Pointer()),
                                      ": nested too deep, expected at most ",
                                      kMaxNestingDepth,
                                      " levels"));
      return false;
    }
    m_levels.push_back({ aIsObject, "", 0, {} });
    return true;
  }

  bool Leave()
  {
    m_levels.pop_back();
    return Value();
  }

  const std::string& m_file;
  const std::string& m_text;
  std::vector<std::string>& m_errors;
  std::vector<Level> m_levels;
};

/** Value and schema at the location of a validation error. */
struct ErrorLocation
{
  std::string m_pointer;
  const json* m_value = nullptr;
  const json* m_schema = nullptr;
};

const json*
ChildSchema(const json& aSchema, const std::string& aKey)
{
  if (aSchema.contains("items")) {
    return &aSchema["items"];
  }
  if (aSchema.contains("properties") && aSchema["properties"].contains(aKey)) {
    return &aSchema["properties"][aKey];
  }
  return &aSchema.at("additionalProperties");
}

/** Resolves the error context of the library, a list such as "<root>",
 * "[peers]", "[0]". */
ErrorLocation
FindErrorLocation(const std::vector<std::string>& aContext,
                  const json& aDocument,
                  const json& aSchema)
{
  ErrorLocation location{ "", &aDocument, &aSchema };
  for (std::size_t i = 1; i < aContext.size(); ++i) {
    const std::string key = aContext[i].substr(1, aContext[i].size() - 2);
    absl::StrAppend(&location.m_pointer, "/", EscapePointer(key));
    location.m_value = location.m_value->is_array()
                         ? &location.m_value->at(std::stoul(key))
                         : &location.m_value->at(key);
    location.m_schema = ChildSchema(*location.m_schema, key);
  }
  return location;
}

std::string
FormatValue(const json& aValue)
{
  if (aValue.is_object()) {
    return absl::StrCat("an object with ", aValue.size(), " keys");
  }
  if (aValue.is_array()) {
    return absl::StrCat("an array with ", aValue.size(), " items");
  }
  return ToPrintableLine(aValue.dump(-1, ' ', true), kMaxShownValueLength);
}

std::string
FormatNumberRange(const json& aSchema)
{
  std::vector<std::string> parts;
  const auto add = [&](const char* aKey, const char* aText) {
    if (aSchema.contains(aKey)) {
      parts.push_back(absl::StrCat(aText, aSchema[aKey].dump()));
    }
  };
  add("minimum", "at least ");
  add("exclusiveMinimum", "over ");
  add("maximum", "at most ");
  add("exclusiveMaximum", "under ");
  return parts.empty() ? "" : absl::StrCat(" ", absl::StrJoin(parts, " and "));
}

std::string
FormatSizeRange(const json& aSchema, const char* aMin, const char* aMax)
{
  return absl::StrCat(" with ",
                      aSchema.value(aMin, 0),
                      " to ",
                      aSchema.value(aMax, 1000),
                      " entries");
}

/** Describes what a schema requires; the text follows "expected" in messages.
 */
std::string
FormatExpected(const json& aSchema)
{
  if (aSchema.contains("enum")) {
    return absl::StrCat("one of ",
                        absl::StrJoin(aSchema["enum"],
                                      ", ",
                                      [](std::string* aOut, const json& aName) {
                                        aOut->append(aName.dump());
                                      }));
  }
  const std::string type = aSchema.value("type", "");
  if (type == "integer") {
    return absl::StrCat("an integer", FormatNumberRange(aSchema));
  }
  if (type == "number") {
    return absl::StrCat("a number", FormatNumberRange(aSchema));
  }
  if (type == "array") {
    return absl::StrCat("an array",
                        FormatSizeRange(aSchema, "minItems", "maxItems"));
  }
  if (type == "object") {
    const bool isBounded = aSchema.contains("minProperties");
    return absl::StrCat(
      "an object",
      isBounded ? FormatSizeRange(aSchema, "minProperties", "maxProperties")
                : "");
  }
  if (aSchema.contains("description")) {
    return absl::StrCat("a string: ",
                        aSchema["description"].get<std::string>());
  }
  return absl::StrCat("a ", type);
}

std::string
FormatKnownKeys(const json& aSchema)
{
  return absl::StrJoin(
    aSchema["properties"].items(), ", ", [](std::string* aOut, const auto& aP) {
      aOut->append(aP.key());
    });
}

void
AppendUnknownKeys(const std::string& aFile,
                  const ErrorLocation& aLocation,
                  std::vector<std::string>& aLines)
{
  for (const auto& [key, value] : aLocation.m_value->items()) {
    if (aLocation.m_schema->at("properties").contains(key)) {
      continue;
    }
    const std::string pointer =
      absl::StrCat(aLocation.m_pointer, "/", EscapePointer(key));
    aLines.push_back(absl::StrCat(aFile,
                                  ": ",
                                  FormatPointer(pointer),
                                  ": unknown key with value ",
                                  FormatValue(value),
                                  ", expected one of: ",
                                  FormatKnownKeys(*aLocation.m_schema)));
  }
}

/** Appends the lines of one error of the validator. */
void
AppendErrorLines(const std::string& aFile,
                 const valijson::ValidationResults::Error& aError,
                 const json& aDocument,
                 const json& aSchema,
                 std::vector<std::string>& aLines)
{
  // An error that only repeats the error of a child carries no information.
  const std::string& text = aError.description;
  if (text.starts_with("Failed to validate")) {
    return;
  }
  const ErrorLocation location =
    FindErrorLocation(aError.context, aDocument, aSchema);
  if (text.starts_with("Object contains a property")) {
    AppendUnknownKeys(aFile, location, aLines);
    return;
  }
  if (text.starts_with("Missing required property")) {
    const std::size_t start = text.find('\'') + 1;
    const std::string key = text.substr(start, text.rfind('\'') - start);
    const std::string pointer =
      absl::StrCat(location.m_pointer, "/", EscapePointer(key));
    aLines.push_back(
      absl::StrCat(aFile,
                   ": ",
                   FormatPointer(pointer),
                   ": missing, expected ",
                   FormatExpected(*ChildSchema(*location.m_schema, key))));
    return;
  }
  aLines.push_back(absl::StrCat(aFile,
                                ": ",
                                FormatPointer(location.m_pointer),
                                ": value ",
                                FormatValue(*location.m_value),
                                ", expected ",
                                FormatExpected(*location.m_schema)));
}

std::vector<std::string>
Validate(const std::string& aFile, const json& aDocument, SchemaName aName)
{
  const json schemaJson = json::parse(SchemaText(aName));
  valijson::Schema schema;
  valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson),
                        schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  validator.validate(
    schema, valijson::adapters::NlohmannJsonAdapter(aDocument), &results);
  std::vector<std::string> lines;
  for (const auto& error : results) {
    AppendErrorLines(aFile, error, aDocument, schemaJson, lines);
  }
  // One value can violate several constraints, which give the same line.
  const std::set<std::string> distinct(lines.begin(), lines.end());
  return { distinct.begin(), distinct.end() };
}

/** Reads a file into aText. Returns the error, or "" when there is none. */
std::string
ReadFile(const std::string& aPath, std::string& aText)
{
  std::error_code error;
  const auto status = std::filesystem::status(aPath, error);
  if (!std::filesystem::exists(status)) {
    return "the file does not exist";
  }
  if (!std::filesystem::is_regular_file(status)) {
    return "not a regular file";
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return "the file cannot be read";
  }
  // One byte more than the limit shows that the file is too large, without
  // reading all of it.
  aText.resize(kMaxJsonBytes + 1);
  file.read(aText.data(), static_cast<std::streamsize>(aText.size()));
  aText.resize(static_cast<std::size_t>(file.gcount()));
  return file.bad() ? "the file cannot be read" : "";
}

}

std::string
ToPrintableLine(std::string_view aText, std::size_t aMaxLength)
{
  std::string line(aText.substr(0, aMaxLength));
  std::ranges::replace_if(
    line, [](char aChar) { return aChar < ' ' || aChar > '~'; }, '?');
  if (aText.size() > aMaxLength) {
    line.append("...");
  }
  return line;
}

void
ThrowIfAny(const std::vector<std::string>& aErrors)
{
  if (!aErrors.empty()) {
    throw Error(ErrorCode::InvalidInput, absl::StrJoin(aErrors, "\n"));
  }
}

json
ParseChecked(SchemaName aSchema,
             const std::string& aFile,
             const std::string& aText,
             std::vector<std::string>& aErrors)
{
  if (aText.size() > kMaxJsonBytes) {
    aErrors.push_back(absl::StrCat(
      aFile, ": too large, expected at most ", kMaxJsonBytes, " bytes"));
    return nullptr;
  }
  if (aText.find_first_not_of(" \t\r\n") == std::string::npos) {
    aErrors.push_back(absl::StrCat(aFile, ": empty, expected a JSON object"));
    return nullptr;
  }
  const std::size_t before = aErrors.size();
  StructureChecker check(aFile, aText, aErrors);
  json::sax_parse(aText, &check);
  if (aErrors.size() > before) {
    return nullptr;
  }
  json document = json::parse(aText);
  const auto lines = Validate(aFile, document, aSchema);
  aErrors.insert(aErrors.end(), lines.begin(), lines.end());
  return lines.empty() ? document : json(nullptr);
}

json
LoadChecked(SchemaName aSchema,
            const std::string& aPath,
            std::vector<std::string>& aErrors)
{
  std::string text;
  const std::string error = ReadFile(aPath, text);
  if (!error.empty()) {
    aErrors.push_back(absl::StrCat(aPath, ": ", error));
    return nullptr;
  }
  return ParseChecked(aSchema, aPath, text, aErrors);
}

}
