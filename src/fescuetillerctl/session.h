#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "audit/audit.h"
#include "fescuetillerctl/exitcode.h"

namespace fescuetiller {

/** What a command works with: output, the store, daemons, clocks. */
struct Session
{
  std::ostream& out;
  std::ostream& error;
  std::function<Result<StoreCalls>(const std::string& aAddress,
                                   Duration aTimeout)>
    openStore;
  /** Body of a daemon's answer to a GET. */
  std::function<Result<std::string>(const std::string& aAddress,
                                    const std::string& aPath,
                                    Duration aTimeout)>
    askDaemon;
  std::function<std::string()> drawWriteId;
  ChangeHooks hooks;
  std::string user;
  std::string host;
  std::string defaultStore; ///< From the environment; may be empty.
};

/** Session of a real run: HTTP, random write ids, real clocks. */
Session
SystemSession(std::ostream& aOut, std::ostream& aError);

/** Writes one line to the error stream. */
ExitCode
Fail(Session& aSession, ExitCode aCode, const std::string& aText);

/** The same for an error; wrong input is wrong usage. */
ExitCode
Fail(Session& aSession, const Error& aError);

} // namespace fescuetiller
