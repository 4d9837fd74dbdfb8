#include "fescuetillerd/peerbootstrap.h"

namespace fescuetiller {

namespace {

/** Interval between loads. Changes that the other daemons have seen arrive
 * about as fast as a new configuration has to take effect. */
constexpr Duration kLoadInterval = std::chrono::seconds(2);

} // namespace

PeerBootstrap::PeerBootstrap(ConnectionPool& aPool,
                             EventLog& aLog,
                             Hooks aHooks)
  : pool(aPool)
  , log(aLog)
  , hooks(std::move(aHooks))
{
}

bool
PeerBootstrap::HasLoaded() const
{
  return this->loaded;
}

void
PeerBootstrap::OnPeerContact(Time aNow, const Tcp::endpoint& aPeer)
{
  if (this->loading || aNow < this->nextAttemptAt || !this->hooks.isNeeded()) {
    return;
  }
  this->loading = true;
  this->nextAttemptAt = aNow + kLoadInterval;
  this->source = std::make_unique<StoreClient>(this->pool, aPeer);
  auto address = ToString(aPeer);
  this->source->ReadFrom(
    ConfigurationKey(), [this, address](Result<StoreRows> aRows) {
      if (!aRows) {
        this->Finish(address, ToString(aRows.error()));
        return;
      }
      this->hooks.onConfiguration(*aRows);
      this->source->ReadParts(
        kClusterTable,
        this->hooks.services(),
        [this](const std::string&, const StoreRows& aPart) {
          this->hooks.onCluster(aPart);
        },
        [this, address](Result<RowVersion> aVersion) {
          this->Finish(address, aVersion ? "" : ToString(aVersion.error()));
        });
    });
}

void
PeerBootstrap::Finish(const std::string& aPeer, const std::string& aError)
{
  this->loading = false;
  bool first = !this->loaded && aError.empty();
  this->loaded = this->loaded || aError.empty();
  if (first || !aError.empty()) {
    this->log.Write(
      { "learned-from-peer", { { "peer", aPeer }, { "error", aError } } });
  }
}

} // namespace fescuetiller
