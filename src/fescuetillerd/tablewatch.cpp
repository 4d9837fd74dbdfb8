#include "fescuetillerd/tablewatch.h"

#include <algorithm>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Pauses after failed calls. The maximum limits how late the end of an outage
 * is detected. */
constexpr Duration kInitialRetryPause = milliseconds(100);
constexpr Duration kMaxRetryPause = milliseconds(600);

} // namespace

TableWatch::TableWatch(asio::io_context& aContext,
                       StoreClient& aStore,
                       EventLog& aLog,
                       std::string aTable,
                       Duration aWatchTime,
                       Hooks aHooks)
  : store(aStore)
  , log(aLog)
  , table(std::move(aTable))
  , watchTime(aWatchTime)
  , hooks(std::move(aHooks))
  , timer(aContext)
{
}

void
TableWatch::Start()
{
  this->Load();
}

bool
TableWatch::IsLoaded() const
{
  return this->loaded;
}

bool
TableWatch::IsWatching() const
{
  return this->loaded && !this->loading;
}

void
TableWatch::ReloadAfter(Duration aPause)
{
  if (this->loaded) {
    this->loading = true;
    ++this->loads;
    this->RunAfter(aPause, [this] { this->Load(); });
  }
}

void
TableWatch::Restart()
{
  if (this->IsWatching()) {
    ++this->loads;
    this->Watch();
  }
}

void
TableWatch::Check(CheckCallback aCallback)
{
  this->store.Watch(
    this->table,
    this->version,
    Duration(0),
    [this, load = this->loads, callback = std::move(aCallback)](
      Result<StoreRows> aRows) {
      if (!aRows && aRows.error().code != ErrorCode::Expired) {
        callback(tl::unexpected(aRows.error()));
        return;
      }
      bool isCurrent = load == this->loads && !this->MustReload(aRows);
      if (isCurrent) {
        this->OnChanges(*aRows);
      } else if (load == this->loads) {
        this->Load();
      }
      callback(isCurrent ? Result<void>()
                         : tl::unexpected(Error{ ErrorCode::Expired,
                                                 "check table",
                                                 "store",
                                                 "it is loaded again" }));
    });
}

void
TableWatch::SkipTo(RowVersion aVersion)
{
  this->version = std::max(this->version, aVersion);
}

void
TableWatch::RunAfter(Duration aPause, std::function<void()> aFunction)
{
  this->timer.expires_after(aPause);
  this->timer.async_wait(
    [this, load = this->loads, function = std::move(aFunction)](
      boost::system::error_code aError) {
      if (!aError && load == this->loads) {
        function();
      }
    });
}

void
TableWatch::OnError(const Error& aError)
{
  if (!this->storeLost) {
    this->storeLost = true;
    this->hooks.onReachable(false);
    this->log.Write({ "store-lost",
                      { { "table", this->table },
                        { "error", ToString(aError) },
                        { "version", std::to_string(this->version) } } });
  }
  this->retryPause =
    this->retryPause == Duration(0)
      ? kInitialRetryPause
      : std::min<Duration>(this->retryPause * 2, kMaxRetryPause);
}

void
TableWatch::Load()
{
  this->loading = true;
  this->hooks.load([this, load = ++this->loads](Result<RowVersion> aVersion) {
    if (load != this->loads) {
      return;
    }
    if (!aVersion) {
      this->OnError(aVersion.error());
      this->RunAfter(this->retryPause, [this] { this->Load(); });
      return;
    }
    this->loaded = true;
    this->loading = false;
    this->version = std::max(this->version, *aVersion);
    this->log.Write({ "table-loaded",
                      { { "table", this->table },
                        { "version", std::to_string(this->version) } } });
    this->storeLost = false;
    this->hooks.onReachable(true);
    this->retryPause = Duration(0);
    this->Watch();
  });
}

void
TableWatch::Watch()
{
  this->store.Watch(
    this->table,
    this->version,
    this->watchTime,
    [this, load = this->loads](Result<StoreRows> aRows) {
      if (load != this->loads) {
        return;
      }
      if (this->MustReload(aRows)) {
        this->Load();
        return;
      }
      if (!aRows) {
        this->OnError(aRows.error());
        this->RunAfter(this->retryPause, [this] { this->Watch(); });
        return;
      }
      if (this->storeLost) {
        this->storeLost = false;
        this->hooks.onReachable(true);
        this->log.Write({ "store-regained",
                          { { "table", this->table },
                            { "version", std::to_string(aRows->version) } } });
      }
      this->retryPause = Duration(0);
      if (!this->OnChanges(*aRows)) {
        this->Watch();
        return;
      }
      this->RunAfter(this->hooks.batchPause(), [this] { this->Watch(); });
    });
}

bool
TableWatch::MustReload(const Result<StoreRows>& aRows) const
{
  return aRows ? EraOf(aRows->version) != EraOf(this->version)
               : aRows.error().code == ErrorCode::Expired;
}

bool
TableWatch::OnChanges(const StoreRows& aRows)
{
  this->version = std::max(this->version, aRows.version);
  if (aRows.rows.empty()) {
    return false;
  }
  this->hooks.onChange(aRows);
  return true;
}

} // namespace fescuetiller
