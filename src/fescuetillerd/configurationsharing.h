#pragma once

#include <functional>
#include <string>

#include "fescuetillerd/configurationlag.h"
#include "fescuetillerd/eventlog.h"
#include "http/http.h"

namespace fescuetiller {

/** Path at which daemons serve their configuration to each other. */
inline constexpr const char* kSharedConfigurationPath = "/configuration";

/**
 * Gets a newer configuration from another daemon when the store delivers it
 * late, for example over a link that is filled by other traffic, and serves
 * this daemon's configuration to others. It is sent compressed, since the
 * store's responses contain every version in full.
 */
class ConfigurationSharing
{
public:
  struct Hooks
  {
    /** Returns the newest version of the row that was handled. */
    std::function<RowVersion()> seen;
    /** Returns the row of the configuration in force; version 0 if none is. */
    std::function<const StoreRow&()> current;
    /** Called with a row that another daemon has served, and its address. */
    std::function<void(const StoreRow&, const std::string&)> onRow;
  };

  ConfigurationSharing(ConnectionPool& aPool, EventLog& aLog, Hooks aHooks);

  /** Loads the configuration from a daemon that has announced a version, if
   * that is needed. */
  void OnAnnouncement(Time aNow,
                      RowVersion aVersion,
                      const Tcp::endpoint& aPeer);

  /** Makes the response to a daemon that loads the configuration. */
  HttpResponse Serve();

private:
  void OnResponse(const std::string& aPeer,
                  const Result<HttpResponse>& aResponse);

  ConnectionPool& pool;
  EventLog& log;
  Hooks hooks;
  ConfigurationLag lag;
  std::string encoded; ///< The row that was served last, as it is sent.
  RowVersion encodedVersion = 0;
};

/** Encodes a row for another daemon; compressed. */
std::string
EncodeSharedRow(const StoreRow& aRow);

Result<StoreRow>
DecodeSharedRow(const std::string& aBytes);

} // namespace fescuetiller
