#include "fescuetillerd/clientrefusals.h"

namespace fescuetiller {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(2);

} // namespace

ClientRefusals::ClientRefusals(EventLog& aLog, Counters& aCounters)
  : log(aLog)
  , counters(aCounters)
{
}

void
ClientRefusals::Follow(ConnectionMemory& aMemory)
{
  aMemory.onRefused =
    [this](const auto& aListener, const auto& aAddress, RoomReason aReason) {
      this->Count(aListener, aAddress, aReason);
    };
}

void
ClientRefusals::Count(const std::string& aListener,
                      const std::string& aAddress,
                      RoomReason aReason)
{
  this->counters.CountClientRefusal(aListener, ToString(aReason));
  auto& sum = this->sums[{ aListener, aReason }];
  ++sum.count;
  sum.lastAddress = aAddress;
}

void
ClientRefusals::LogSummary(Time aNow, const ConnectionAccount& aAccount)
{
  if (this->sums.empty() || aNow < this->nextLogAt) {
    return;
  }
  this->nextLogAt = aNow + kLogInterval;
  for (const auto& [key, sum] : this->sums) {
    this->log.Write(
      { "clients-refused",
        { { "listener", key.first },
          { "reason", ToString(key.second) },
          { "count", std::to_string(sum.count) },
          { "last_client", sum.lastAddress },
          { "held_bytes", std::to_string(aAccount.HeldBytes()) },
          { "connections", std::to_string(aAccount.ConnectionCount()) } } });
  }
  this->sums.clear();
}

} // namespace fescuetiller
