#pragma once

#include <cstdint>

namespace fescuetiller {

/**
 * Token bucket that bounds retries to a share of the requests. Each request
 * adds its share of a token, each retry takes a whole one. Not thread-safe.
 */
class RetryBudget
{
public:
  /** @param aShare Retries for each request, 0 to 1.
   * @param aLargest Tokens that may be saved up. */
  RetryBudget(double aShare, double aLargest);

  void SetRatio(double aShare);

  void CountRequest();

  /** @return Whether a retry is allowed; takes its token. */
  bool TryAcquireRetry();

private:
  double share;
  double largest;
  double tokens;
};

} // namespace fescuetiller
