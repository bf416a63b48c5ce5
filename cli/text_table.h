#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace bramleystall {

/** Aligns rows of text in columns; the first row has the column titles. */
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows);

/** Value of a key as text; "-" when the key is absent or the text empty. */
std::string
TextOf(const nlohmann::json& aObject, const std::string& aKey);

/**
 * UTC time of a key that contains milliseconds since the epoch; "-" when the
 * key is absent or not an integer.
 */
std::string
TimeOf(const nlohmann::json& aObject, const std::string& aKey);

/** Formats JSON as indented lines "key: value". */
std::string
FormatObject(const nlohmann::json& aJson, int aIndent = 0);

}
