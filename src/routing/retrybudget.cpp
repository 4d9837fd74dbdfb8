#include "routing/retrybudget.h"

#include <algorithm>

namespace fescuetiller {

RetryBudget::RetryBudget(double aRatio, double aMaxTokens)
  : ratio(aRatio)
  , maxTokens(aMaxTokens)
  , tokens(aMaxTokens)
{
}

void
RetryBudget::SetRatio(double aRatio)
{
  this->ratio = aRatio;
}

void
RetryBudget::CountRequest()
{
  this->tokens = std::min(this->maxTokens, this->tokens + this->ratio);
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
