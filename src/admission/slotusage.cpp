#include "admission/slotusage.h"

namespace fescuetiller {

std::vector<std::pair<std::string, Duration>>
SlotTimes::ByName() const
{
  return { { "in_time", this->inTime },
           { "late", this->late },
           { "error", this->error },
           { "unanswered", this->unanswered },
           { "cancelled", this->cancelled },
           { "idle", this->idle },
           { "without_keys", this->withoutKeys } };
}

bool
operator==(const SlotTimes& aLeft, const SlotTimes& aRight)
{
  return aLeft.ByName() == aRight.ByName();
}

void
SlotUsage::SetCapacity(Time aNow, uint32_t aSlots, bool aHasKeys)
{
  this->AddIdleTime(aNow);
  this->slots = aSlots;
  this->hasKeys = aHasKeys;
}

void
SlotUsage::OnStarted(Time aNow)
{
  this->AddIdleTime(aNow);
  ++this->running;
}

void
SlotUsage::OnFinished(Time aNow, Time aStartedAt, SlotUse aUse)
{
  this->AddIdleTime(aNow);
  --this->running;
  auto time = aNow - aStartedAt;
  switch (aUse) {
    case SlotUse::InTime:
      this->totals.inTime += time;
      break;
    case SlotUse::Late:
      this->totals.late += time;
      break;
    case SlotUse::Error:
      this->totals.error += time;
      break;
    case SlotUse::Unanswered:
      this->totals.unanswered += time;
      break;
    case SlotUse::Cancelled:
      this->totals.cancelled += time;
      break;
  }
}

SlotTimes
SlotUsage::Totals(Time aNow) const
{
  auto copy = *this;
  copy.AddIdleTime(aNow);
  return copy.totals;
}

void
SlotUsage::AddIdleTime(Time aNow)
{
  if (this->slots > this->running) {
    auto idle =
      (aNow - this->addedUntil) * static_cast<int>(this->slots - this->running);
    (this->hasKeys ? this->totals.idle : this->totals.withoutKeys) += idle;
  }
  this->addedUntil = aNow;
}

} // namespace fescuetiller
