#pragma once

#include <functional>
#include <string>

#include "fescuetillerd/eventlog.h"
#include "platform/platform.h"

namespace fescuetiller {

/**
 * Keeps track of a table of the store: loads it, then watches it for changes,
 * and reloads it when the store no longer has the changes. Logs when the store
 * becomes unreachable and when it is reachable again.
 */
class TableWatch
{
public:
  /** Gets the version at which the table was loaded, or the error. */
  using LoadCallback = std::function<void(Result<RowVersion>)>;

  struct Hooks
  {
    /** Loads the table and calls back when done. */
    std::function<void(LoadCallback)> load;
    std::function<void(const StoreRows&)> onChange;
    /** Called when the store becomes unreachable or reachable. */
    std::function<void(bool)> onReachable;
    /** Returns the pause after a change, which lets one call fetch several
     * changes in quick succession. */
    std::function<Duration()> batchPause;
  };

  TableWatch(asio::io_context& aContext,
             StoreClient& aStore,
             EventLog& aLog,
             std::string aTable,
             Duration aWatchTime,
             Hooks aHooks);

  void Start();
  bool IsLoaded() const;
  /** Whether the table is loaded, and is not being loaded again. */
  bool IsWatching() const;
  /** Loads the table again after a pause, since the store's era has changed. */
  void ReloadAfter(Duration aPause);
  /** Watches anew, since the store may never respond to the present call. */
  void Restart();

  /** Gets whether the store responded, and the error if it did not. */
  using CheckCallback = std::function<void(const Result<void>&)>;
  /** Asks the store for changes without waiting for one. */
  void Check(CheckCallback aCallback);

  /** Watches for changes after a version whose rows are known from elsewhere.
   */
  void SkipTo(RowVersion aVersion);

private:
  void Load();
  void Watch();
  /** Handles changes.
   * @return Whether there were any. */
  bool OnChanges(const StoreRows& aRows);
  /** Whether the table must be loaded again before it can be watched. */
  bool MustReload(const Result<StoreRows>& aRows) const;
  void OnError(const Error& aError);
  void RunAfter(Duration aPause, std::function<void()> aFunction);

  StoreClient& store;
  EventLog& log;
  std::string table;
  Duration watchTime; ///< Longest wait of one call for a change.
  Hooks hooks;
  asio::steady_timer timer;
  RowVersion version = 0; ///< Version up to which changes were received.
  /** Number of loads; a response to a call before the last one is ignored. */
  uint64_t loads = 0;
  bool loaded = false;
  bool loading = false;
  bool storeLost = false;
  Duration retryPause = Duration(0); ///< Grows with each failed call.
};

} // namespace fescuetiller
