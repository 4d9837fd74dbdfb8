#include "fescuetillerd/tablewatch.h"

#include <algorithm>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Pauses after failed calls: the longest bounds how late the end of an outage
 * is noticed. */
constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = milliseconds(600);

} // namespace

TableWatch::TableWatch(asio::io_context& aContext,
                       StoreClient& aStore,
                       EventLog& aLog,
                       std::string aTable,
                       Duration aWait,
                       Hooks aHooks)
  : store(aStore)
  , log(aLog)
  , table(std::move(aTable))
  , wait(aWait)
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

void
TableWatch::Later(Duration aPause, std::function<void()> aStep)
{
  this->timer.expires_after(aPause);
  this->timer.async_wait(
    [step = std::move(aStep)](boost::system::error_code aError) {
      if (!aError) {
        step();
      }
    });
}

void
TableWatch::OnError(const Error& aError)
{
  if (!this->lost) {
    this->lost = true;
    this->hooks.reachable(false);
    this->log.Write({ "store-lost",
                      { { "table", this->table },
                        { "error", ToString(aError) },
                        { "version", std::to_string(this->version) } } });
  }
  this->pause = this->pause == Duration(0)
                  ? kFirstPause
                  : std::min<Duration>(this->pause * 2, kLongestPause);
}

void
TableWatch::Load()
{
  this->hooks.load([this](Result<RowVersion> aVersion) {
    if (!aVersion) {
      this->OnError(aVersion.error());
      this->Later(this->pause, [this] { this->Load(); });
      return;
    }
    this->loaded = true;
    this->version = *aVersion;
    this->log.Write({ "table-loaded",
                      { { "table", this->table },
                        { "version", std::to_string(this->version) } } });
    this->lost = false;
    this->hooks.reachable(true);
    this->pause = Duration(0);
    this->Watch();
  });
}

void
TableWatch::Watch()
{
  this->store.Watch(
    this->table, this->version, this->wait, [this](Result<StoreRows> aRows) {
      if (!aRows && aRows.error().code == ErrorCode::Expired) {
        this->Load();
        return;
      }
      if (!aRows) {
        this->OnError(aRows.error());
        this->Later(this->pause, [this] { this->Watch(); });
        return;
      }
      if (this->lost) {
        this->lost = false;
        this->hooks.reachable(true);
        this->log.Write({ "store-regained",
                          { { "table", this->table },
                            { "version", std::to_string(aRows->version) } } });
      }
      this->pause = Duration(0);
      this->version = std::max(this->version, aRows->version);
      if (aRows->rows.empty()) {
        this->Watch();
        return;
      }
      this->hooks.changed(*aRows);
      this->Later(this->hooks.gatherPause(), [this] { this->Watch(); });
    });
}

} // namespace fescuetiller
