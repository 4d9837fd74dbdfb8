#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "audit/audit.h"
#include "fescuetillerctl/exitcode.h"

namespace fescuetiller {

/** The environment of a command: output streams, access to the store and to
 * daemons, clocks. Tests replace all of it. */
struct Session
{
  std::ostream& out;
  std::ostream& error;
  std::function<Result<StoreCalls>(const std::string& aAddress,
                                   Duration aTimeout)>
    openStore;
  /** Sends a GET to a daemon and returns the body of the response. */
  std::function<Result<std::string>(const std::string& aAddress,
                                    const std::string& aPath,
                                    Duration aTimeout)>
    fetchFromDaemon;
  std::function<std::string()> generateWriteId;
  ChangeHooks hooks;        ///< For the writer of changes.
  std::string user;         ///< Default of --who.
  std::string host;         ///< Where this tool runs, for the audit trail.
  std::string defaultStore; ///< From the environment; may be empty.
};

/** Creates the session of the program itself: calls by HTTP, random write ids
 * and the clocks of the system. */
Session
SystemSession(std::ostream& aOut, std::ostream& aError);

/** Writes one line to the error stream.
 * @return aCode, so that a command can return the result. */
ExitCode
ReportError(Session& aSession, ExitCode aCode, const std::string& aText);

/** Writes an error to the error stream.
 * @return Usage for invalid input, otherwise Failed. */
ExitCode
ReportError(Session& aSession, const Error& aError);

} // namespace fescuetiller
