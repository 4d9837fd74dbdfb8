#include "fescuetillerd/configurationlag.h"

#include <algorithm>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Time in which the store usually delivers a new configuration. */
constexpr Duration kDeliveryTime = milliseconds(300);
/** Time after which another daemon is asked while a load has not ended. */
constexpr Duration kLoadInterval = milliseconds(400);
constexpr int kMaxLoads = 3;

} // namespace

bool
ConfigurationLag::OnAnnouncement(Time aNow,
                                 RowVersion aAnnounced,
                                 RowVersion aOwn)
{
  this->newest = std::max(this->newest, aAnnounced);
  if (aOwn >= this->newest) {
    this->behindSince = Time();
    return false;
  }
  if (this->behindSince == Time()) {
    this->behindSince = aNow;
  }
  if (aAnnounced <= aOwn || this->loads >= kMaxLoads ||
      aNow < this->nextLoadAt || aNow - this->behindSince < kDeliveryTime) {
    return false;
  }
  this->nextLoadAt = aNow + kLoadInterval;
  ++this->loads;
  return true;
}

void
ConfigurationLag::OnLoadEnded()
{
  --this->loads;
}

} // namespace fescuetiller
