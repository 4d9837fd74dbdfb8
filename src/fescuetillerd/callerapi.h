#pragma once

#include "fescuetillerd/router.h"

namespace httplib {
class Server;
}

namespace fescuetiller {

/** Installs POST /v1/request/SERVICE/CLASS?key=KEY for callers. */
void
InstallCallerApi(httplib::Server& aServer,
                 Router& aRouter,
                 Duration aDefaultDeadline);

} // namespace fescuetiller
