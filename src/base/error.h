#pragma once

#include <ostream>
#include <string>

#include <tl/expected.hpp>

namespace fescuetiller {

/** What kind of failure an Error describes; decides whether to retry. */
enum class ErrorCode
{
  Invalid,     ///< The input is wrong; the same call fails again.
  Conflict,    ///< A condition of a conditional write did not hold.
  Unavailable, ///< The peer was not reached; nothing took effect.
  Unknown,     ///< The peer may have acted; its response was lost.
  Refused,     ///< The peer rejected the request.
  Expired,     ///< A deadline or lease expired first.
};

/** Failure of one operation that involves a peer, file or service. */
struct Error
{
  ErrorCode code = ErrorCode::Invalid;
  std::string operation; ///< What was being done, e.g. "read settings".
  std::string peer;      ///< Address, file or name of the other end.
  std::string message;

  friend bool operator==(const Error& aLeft, const Error& aRight);
};

const char*
ToString(ErrorCode aCode);

/** Formats an error as "operation (peer): message". */
std::string
ToString(const Error& aError);

std::ostream&
operator<<(std::ostream& aStream, const Error& aError);

template<typename T>
using Result = tl::expected<T, Error>;

} // namespace fescuetiller
