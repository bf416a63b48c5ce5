#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace bramleystall {

/** Rows of text, the first one with the titles, aligned in columns. */
std::string
FormatTable(const std::vector<std::vector<std::string>>& aRows);

/** Value of a key as text; "-" when the key is absent. */
std::string
TextOf(const nlohmann::json& aObject, const std::string& aKey);

/** Time of a key that holds milliseconds since the epoch; "-" when absent. */
std::string
TimeOf(const nlohmann::json& aObject, const std::string& aKey);

/** JSON as indented lines "key: value". */
std::string
FormatObject(const nlohmann::json& aJson, int aIndent = 0);

}
