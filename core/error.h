#pragma once

#include "core/enum_names.h"

#include <stdexcept>
#include <string>

namespace bramleystall {

/** Category of a failure, which determines the exit code of the tool. */
enum class ErrorCode
{
  InvalidInput,
  Conflict,
  Unavailable,
  OutcomeUnknown,
  NotFound,
  Internal,
};

inline constexpr EnumNames<ErrorCode, 6> kErrorCodeNames = { {
  { ErrorCode::InvalidInput, "invalid_input" },
  { ErrorCode::Conflict, "conflict" },
  { ErrorCode::Unavailable, "unavailable" },
  { ErrorCode::OutcomeUnknown, "outcome_unknown" },
  { ErrorCode::NotFound, "not_found" },
  { ErrorCode::Internal, "internal" },
} };

/** Base of all exceptions of this project. */
class Error : public std::runtime_error
{
public:
  Error(ErrorCode aCode, const std::string& aMessage)
    : std::runtime_error(aMessage)
    , m_code(aCode)
  {
  }

  ErrorCode Code() const { return m_code; }

private:
  ErrorCode m_code;
};

}
