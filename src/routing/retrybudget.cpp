#include "routing/retrybudget.h"

#include <algorithm>

namespace fescuetiller {

RetryBudget::RetryBudget(double aShare, double aLargest)
  : share(aShare)
  , largest(aLargest)
  , tokens(aLargest)
{
}

void
RetryBudget::SetRatio(double aShare)
{
  this->share = aShare;
}

void
RetryBudget::CountRequest()
{
  this->tokens = std::min(this->largest, this->tokens + this->share);
}

bool
RetryBudget::TryAcquireRetry()
{
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

} // namespace fescuetiller
