#include "ownership/backendcondition.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** A backend server that stood this long starts with a clean record. */
constexpr Duration kForgetLosses = std::chrono::minutes(2);
constexpr Duration kFirstWait = std::chrono::seconds(1);
constexpr int kMaxDoublings = 5;

} // namespace

void
BackendCondition::Announced(const BackendAnnounced& aBackend)
{
  this->backend = aBackend;
}

void
BackendCondition::Lost(Time aNow, const BackendLost& aLost, Time aLeaseUntil)
{
  if (this->lost) {
    return;
  }
  this->losses = aNow - this->lastLoss > kForgetLosses ? 1 : this->losses + 1;
  this->lost = true;
  this->lastLoss = aNow;
  bool checksGrant = this->backend && this->backend->checksGrant;
  this->lapsesAt = checksGrant ? aLost.grantsLapseAt : aLeaseUntil;
}

void
BackendCondition::Returned(Time aNow)
{
  if (!this->lost) {
    return;
  }
  this->lost = false;
  int doublings = std::min(this->losses - 2, kMaxDoublings);
  bool first = doublings < 0;
  this->acceptsFrom = first ? aNow : aNow + kFirstWait * (1 << doublings);
}

const std::optional<BackendAnnounced>&
BackendCondition::Backend() const
{
  return this->backend;
}

bool
BackendCondition::Serves() const
{
  return this->backend.has_value() && !this->lost;
}

bool
BackendCondition::Accepts(Time aNow) const
{
  return this->Serves() && aNow >= this->acceptsFrom;
}

bool
BackendCondition::Lapsed(Time aNow) const
{
  return this->lost && aNow >= this->lapsesAt;
}

} // namespace fescuetiller
