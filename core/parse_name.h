#pragma once

#include "core/enum_names.h"
#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <string>

namespace bramleystall {

/**
 * Looks up the value of a name in a document. Throws Error (InvalidInput) that
 * names the document when the table lacks the name.
 */
template<typename Enum, std::size_t kCount>
Enum
ParseName(const EnumNames<Enum, kCount>& aTable,
          const std::string& aName,
          const std::string& aDocument)
{
  const auto value = ValueOf(aTable, aName);
  if (!value) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat(aDocument, ": unknown name '", aName, "'"));
  }
  return *value;
}

}
