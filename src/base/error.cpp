#include "base/error.h"

#include <tuple>

namespace fescuetiller {

bool
operator==(const Error& aLeft, const Error& aRight)
{
  return std::tie(aLeft.code, aLeft.operation, aLeft.peer, aLeft.message) ==
         std::tie(aRight.code, aRight.operation, aRight.peer, aRight.message);
}

const char*
ToString(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::Invalid:
      return "invalid";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::Unavailable:
      return "unavailable";
    case ErrorCode::Unknown:
      return "unknown";
    case ErrorCode::Refused:
      return "refused";
    case ErrorCode::Expired:
      return "expired";
  }
  return "invalid";
}

std::string
ToString(const Error& aError)
{
  std::string peer = aError.peer.empty() ? "" : " (" + aError.peer + ")";
  return aError.operation + peer + ": " + aError.message;
}

std::ostream&
operator<<(std::ostream& aStream, const Error& aError)
{
  return aStream << ToString(aError);
}

} // namespace fescuetiller
