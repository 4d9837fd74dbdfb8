#pragma once

#include <map>
#include <string>
#include <utility>

#include "fescuetillerd/counters.h"
#include "fescuetillerd/eventlog.h"
#include "http/connectionmemory.h"

namespace fescuetiller {

/** Counts the clients that one thread refuses or disconnects for lack of room,
 * and logs them in summary: one line for each would hide all others. */
class ClientRefusals
{
public:
  ClientRefusals(EventLog& aLog, Counters& aCounters);

  /** Counts what the connections of an account report. */
  void Follow(ConnectionMemory& aMemory);
  /** Logs what was counted since the last line, at intervals. */
  void LogSummary(Time aNow, const ConnectionAccount& aAccount);

private:
  struct Sum
  {
    uint64_t count = 0;
    std::string lastAddress;
  };

  void Count(const std::string& aListener,
             const std::string& aAddress,
             RoomReason aReason);

  EventLog& log;
  Counters& counters;
  /** By listening address and reason. */
  std::map<std::pair<std::string, RoomReason>, Sum> sums;
  Time nextLogAt;
};

} // namespace fescuetiller
