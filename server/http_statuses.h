#pragma once

namespace bramleystall {

/** HTTP statuses of the responses to callers of the job interface. */
inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kIdConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kUnavailable = 503;
inline constexpr int kOutcomeUnknown = 504;

}
