#include "ownership/leaseholder.h"

#include <algorithm>

namespace fescuetiller {

LeaseHolder::LeaseHolder(const LeaseSettings& aSettings, Incarnation aSelf)
  : settings(aSettings)
  , self(aSelf)
{
}

void
LeaseHolder::SetGrantor(Time aNow, Incarnation aGrantor)
{
  this->grantor = aGrantor;
  this->proposedAt.reset();
  this->sentAt.clear();
  this->lastAck = aNow;
  this->nextRenewal = aNow;
}

void
LeaseHolder::ProposeGrantor(Time aNow)
{
  this->proposedAt = aNow;
}

void
LeaseHolder::WithdrawProposal()
{
  this->proposedAt.reset();
}

void
LeaseHolder::RecordWritten(Time aSentAt)
{
  this->validUntil = std::max(this->validUntil, aSentAt + this->settings.lease);
}

void
LeaseHolder::Acknowledged(Time aNow, const RenewalAck& aAck)
{
  if (aAck.holder != this->self || aAck.grantor != this->grantor) {
    return;
  }
  auto sent = this->sentAt.find(aAck.sequence);
  if (sent == this->sentAt.end()) {
    return;
  }
  bool binding = !this->proposedAt || sent->second <= *this->proposedAt ||
                 this->settings.rules.oldGrantorCounts();
  if (binding) {
    Time start = this->settings.rules.leaseStart(sent->second, aNow);
    this->validUntil = std::max(this->validUntil, start + this->settings.lease);
  }
  this->lastAck = std::max(this->lastAck, sent->second);
  this->sentAt.erase(this->sentAt.begin(), std::next(sent));
}

void
LeaseHolder::Tick(Time aNow,
                  const std::string& aAddress,
                  std::vector<Output>& aOutputs)
{
  if (this->grantor == kNoIncarnation || aNow < this->nextRenewal) {
    return;
  }
  this->nextRenewal = aNow + this->settings.renewInterval;
  ++this->sequence;
  this->sentAt[this->sequence] = aNow;
  Renewal renewal{ this->self, this->grantor, this->sequence };
  aOutputs.push_back(SendRenewal{ aAddress, renewal });
  while (aNow - this->sentAt.begin()->second > this->settings.lease) {
    this->sentAt.erase(this->sentAt.begin());
  }
}

bool
LeaseHolder::GrantorSilent(Time aNow) const
{
  return aNow - this->lastAck > this->settings.grantorTimeout;
}

Incarnation
LeaseHolder::Grantor() const
{
  return this->grantor;
}

Time
LeaseHolder::ValidUntil() const
{
  return this->validUntil;
}

} // namespace fescuetiller
