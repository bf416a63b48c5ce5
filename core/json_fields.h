#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace bramleystall {

/**
 * Reads a field of a document that another program wrote. Returns the default
 * when the document is not an object, or the field is missing or has another
 * type, and so never throws.
 */
inline std::string
StringField(const nlohmann::json& aObject,
            const char* aName,
            const std::string& aDefault = "")
{
  if (!aObject.is_object()) {
    return aDefault;
  }
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : aDefault;
}

/** The same for a whole number. */
inline std::int64_t
IntegerField(const nlohmann::json& aObject,
             const char* aName,
             std::int64_t aDefault = 0)
{
  if (!aObject.is_object()) {
    return aDefault;
  }
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_number_integer()
           ? found->get<std::int64_t>()
           : aDefault;
}

}
