#include "fescuetillerd/peerbootstrap.h"

namespace fescuetiller {

namespace {

/** Between lessons: changes that the others have seen meanwhile are learned
 * about as soon as the next configuration should be in force. */
constexpr Duration kLessonInterval = std::chrono::seconds(2);

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
  return this->learned;
}

void
PeerBootstrap::OnPeerContact(Time aNow, const Tcp::endpoint& aPeer)
{
  if (this->learning || aNow < this->nextAt || !this->hooks.isNeeded()) {
    return;
  }
  this->learning = true;
  this->nextAt = aNow + kLessonInterval;
  this->peer = std::make_unique<StoreClient>(this->pool, aPeer);
  auto address = ToString(aPeer);
  this->peer->ReadFrom(
    ConfigurationKey(), [this, address](Result<StoreRows> aRows) {
      if (!aRows) {
        this->End(address, ToString(aRows.error()));
        return;
      }
      this->hooks.onConfiguration(*aRows);
      this->peer->ReadParts(
        kClusterTable,
        this->hooks.services(),
        [this](const std::string&, const StoreRows& aPart) {
          this->hooks.onCluster(aPart);
        },
        [this, address](Result<RowVersion> aVersion) {
          this->End(address, aVersion ? "" : ToString(aVersion.error()));
        });
    });
}

void
PeerBootstrap::End(const std::string& aPeer, const std::string& aError)
{
  this->learning = false;
  bool first = !this->learned && aError.empty();
  this->learned = this->learned || aError.empty();
  if (first || !aError.empty()) {
    this->log.Write(
      { "learned-from-peer", { { "peer", aPeer }, { "error", aError } } });
  }
}

} // namespace fescuetiller
