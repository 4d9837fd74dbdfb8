#include "model/servernotice.h"

#include <tuple>

namespace fescuetiller {

bool
operator==(const ServerNotice& aLeft, const ServerNotice& aRight)
{
  return std::tie(aLeft.server, aLeft.requestLimit, aLeft.leavingFor) ==
         std::tie(aRight.server, aRight.requestLimit, aRight.leavingFor);
}

} // namespace fescuetiller
