#pragma once

#include "core/enum_names.h"
#include "core/error.h"

namespace bramleystall {

/** Exit codes of the tool (docs/design.md, section 8). */
enum class ExitCode
{
  Success = 0,
  Usage = 1,
  InvalidInput = 2,
  Conflict = 3,
  Unavailable = 4,
  OutcomeUnknown = 5,
};

/** Meaning of each exit code, as `--help` prints it. */
inline constexpr EnumNames<ExitCode, 6> kExitCodeMeanings = { {
  { ExitCode::Success, "success" },
  { ExitCode::Usage, "wrong usage of the command line" },
  { ExitCode::InvalidInput, "invalid input; nothing was changed" },
  { ExitCode::Conflict, "conflict with another operator; nothing was changed" },
  { ExitCode::Unavailable, "a daemon or the store is not available" },
  { ExitCode::OutcomeUnknown, "outcome unknown; the change may be in effect" },
} };

inline ExitCode
ExitCodeOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidInput:
    case ErrorCode::NotFound:
      return ExitCode::InvalidInput;
    case ErrorCode::Conflict:
      return ExitCode::Conflict;
    case ErrorCode::Unavailable:
      return ExitCode::Unavailable;
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::Internal:
      break;
  }
  // After an internal error it is unknown whether anything was changed.
  return ExitCode::OutcomeUnknown;
}

}
