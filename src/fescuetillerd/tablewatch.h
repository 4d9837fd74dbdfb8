#pragma once

#include <functional>
#include <string>

#include "fescuetillerd/eventlog.h"
#include "platform/platform.h"

namespace fescuetiller {

/**
 * Follows a table of the store: loads it, then waits for its changes, and loads
 * it again when the store no longer has them. Tells the log when the store is
 * lost and when it is back.
 */
class TableWatch
{
public:
  /** Version up to which everything was loaded, or why nothing was. */
  using Loaded = std::function<void(Result<RowVersion>)>;

  struct Hooks
  {
    std::function<void(Loaded)> load;
    std::function<void(const StoreRows&)> changed;
    /** Called when the store is lost and when it is back. */
    std::function<void(bool)> reachable;
    /** Pause after a change, so that changes in quick succession share a call.
     */
    std::function<Duration()> gatherPause;
  };

  TableWatch(asio::io_context& aContext,
             StoreClient& aStore,
             EventLog& aLog,
             std::string aTable,
             Duration aWait,
             Hooks aHooks);

  void Start();
  bool IsLoaded() const;

private:
  void Load();
  void Watch();
  void OnError(const Error& aError);
  void Later(Duration aPause, std::function<void()> aStep);

  StoreClient& store;
  EventLog& log;
  std::string table;
  Duration wait;
  Hooks hooks;
  asio::steady_timer timer;
  RowVersion version = 0;
  bool loaded = false;
  bool lost = false;
  Duration pause = Duration(0);
};

} // namespace fescuetiller
