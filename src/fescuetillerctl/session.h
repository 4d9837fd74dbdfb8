#pragma once

#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "audit/audit.h"
#include "fescuetillerctl/exitcode.h"

namespace fescuetiller {

/** One call to the operator port of a daemon. */
struct DaemonCall
{
  std::string address;
  std::string path;
  bool post = false;
  Duration timeout = std::chrono::seconds(2);
};

/** What a command works with: output, table service, daemons, clocks. */
struct Session
{
  std::ostream& out;
  std::ostream& error;
  std::function<std::unique_ptr<TableStore>(const std::string&, Duration)>
    openStore;
  /** Called from several threads at once. */
  std::function<Result<std::string>(const DaemonCall&)> callDaemon;
  std::function<std::string()> drawWriteId;
  ChangeHooks hooks;
  std::string user;
  std::string host;
  std::string defaultPlatform; ///< From the environment; may be empty.
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
