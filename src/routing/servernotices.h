#pragma once

#include <map>
#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/**
 * What other daemons last reported that their backend servers have announced,
 * by the daemon's address. Sent with the next requests to that address, so that
 * a daemon that was restarted learns what its server announced before. Does no
 * I/O and reads no clock; not thread-safe.
 */
class ServerNotices
{
public:
  /** Handles a response of the daemon at an address.
   * @param aNotice Empty if the daemon knows of no announcement. */
  void OnResponse(Time aNow,
                  const std::string& aAddress,
                  const std::optional<ServerNotice>& aNotice);

  /** Returns what to tell the daemon at an address; empty if there is nothing.
   */
  std::optional<ServerNotice> Find(Time aNow,
                                   const std::string& aAddress) const;

private:
  struct Entry
  {
    ServerIncarnation server;
    std::optional<double> requestLimit;
    std::optional<Time> leavingSince;
    Time reportedAt;
  };

  std::map<std::string, Entry> entries;
};

} // namespace fescuetiller
